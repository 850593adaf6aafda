package ringspindle.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Map;

/** Calls over HTTP/1.1 on connections that are kept for as long as the other side keeps them. Thread safe. */
final class SoakHttp {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    /** Longer than any deadline of a request, so that no answer is given up. */
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(6);

    static {
        // routes are found by the Host header
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
    }

    private final HttpClient client = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(CONNECT_TIMEOUT)
            .build();

    /** The response, null if the connection fails or breaks. */
    HttpResponse<String> call(String method, String address, String path, Map<String, String> headers, String body)
            throws InterruptedException {
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(CALL_TIMEOUT)
                .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        try {
            return client.send(request.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException broken) {
            return null;
        }
    }
}
