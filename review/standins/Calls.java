package review;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Map;

/** Calls over HTTP/1.1, each on a fresh connection, as clients, engines and the operator make them. */
final class Calls {
    static {
        // clients set Host themselves
        System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host,connection");
    }

    /** An answer; status 0 if there was none. */
    record Answer(int status, String body, String seal) {
        boolean taken() {
            return status / 100 == 2;
        }
    }

    private Calls() {}

    static Answer call(String method, String address, String path, Map<String, String> headers, String body, int timeoutMs)
            throws InterruptedException {
        HttpClient client = HttpClient.newBuilder()
                .version(HttpClient.Version.HTTP_1_1)
                .connectTimeout(Duration.ofSeconds(1))
                .build();
        HttpRequest.Builder request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofMillis(timeoutMs))
                .method(method, body == null
                        ? HttpRequest.BodyPublishers.noBody()
                        : HttpRequest.BodyPublishers.ofString(body));
        request.header("Connection", "close");
        headers.forEach(request::header);
        try {
            HttpResponse<String> answer = client.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(
                    answer.statusCode(), answer.body(), answer.headers().firstValue("Server-Seal").orElse(""));
        } catch (IOException failed) {
            return new Answer(0, failed.toString(), "");
        }
    }

    /** A call of the operator: sent again to the next node until there is a clear answer. Returns the last answer. */
    static Answer operator(
            Record record, List<Fleet.Node> control, String method, String path, Map<String, String> headers, String body, int patienceMs)
            throws InterruptedException {
        long untilMs = record.nowMs() + patienceMs;
        Answer answer = new Answer(0, "", "");
        for (int i = 0; record.nowMs() < untilMs; i++) {
            Fleet.Node node = control.get(i % control.size());
            answer = call(method, node.control(), path, headers, body, 1000);
            boolean clear = answer.taken() || answer.status() / 100 == 4 && answer.status() != 408 && answer.status() != 429;
            record.line("operator: " + method + " " + path + " " + headers + " to " + node.name + " -> " + answer.status()
                    + (answer.taken() ? "" : " " + answer.body()));
            if (clear) {
                return answer;
            }
            Thread.sleep(200);
        }
        return answer;
    }
}
