package ringspindle.transport;

import org.eclipse.jetty.io.ClientConnector;
import org.eclipse.jetty.util.ssl.SslContextFactory;

/** A connector without TLS: the trust store of the machine is not read, which would cost a start much time. */
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
