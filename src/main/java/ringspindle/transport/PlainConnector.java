package ringspindle.transport;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** A dialler without TLS: the machine's trust store is not read, which would cost a start much time. */
public class PlainConnector extends ClientConnector {
    /** {@code new HttpClient(new HttpClientTransportOverHTTP(new PlainConnector()))}. */
    public PlainConnector() {
        setSelectors(1);
    }

    @Override
    protected SslContextFactory.Client newSslContextFactory() {
        return new SslContextFactory.Client() {
            @Override
            protected void doStart() {
                // never used
            }
        };
    }
}
