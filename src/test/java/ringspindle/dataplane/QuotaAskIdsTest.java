package ringspindle.dataplane;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ringspindle.config.AllowedRegions;
import ringspindle.config.Tenant;
import ringspindle.protocol.Message.Hello;
import ringspindle.protocol.NodeId;
import ringspindle.protocol.NodeKind;
import ringspindle.protocol.TenantMessage.QuotaAsk;
import ringspindle.protocol.TenantMessage.QuotaGrant;
import ringspindle.protocol.TenantMessage.QuotaLeave;
import ringspindle.proxy.QuotaGateway;
import ringspindle.transport.RecordingMesh;

/** Guards against admission on tokens that are too old: a restarted data node took a grant to the process before for its own. */
class QuotaAskIdsTest {
    private static final NodeId SELF = NodeId.of("10.0.0.9:7001");
    private static final NodeId CONTROL = NodeId.of("10.0.0.1:7000");
    private static final Tenant TENANT = new Tenant("kaje80", Set.of(), 0, 10, 0, AllowedRegions.ANY);

    /** Draws the numbers of all processes, which are therefore different. */
    private final Random random = new Random(1);

    private final List<String> admitted = new ArrayList<>();

    /** One process of the data node, in touch with a control node. */
    private final class Process {
        private final RecordingMesh mesh = new RecordingMesh();
        private final QuotaCaller quotas = new QuotaCaller(SELF, mesh, Runnable::run, () -> 1000, random.nextLong());

        Process() {
            quotas.opened(new Hello(CONTROL, 1, NodeKind.CONTROL, 0, "c", "z", "r"));
        }

        /** A request needs a token; returns the number of the asking for it. */
        long ask(String request) {
            quotas.admit(TENANT, new QuotaGateway.AdmissionListener() {
                @Override
                public void onAdmitted() {
                    admitted.add(request);
                }

                @Override
                public void onOverQuota(int retryAfterMs) {
                    admitted.add(request + " is over quota");
                }

                @Override
                public void onUnavailable() {
                    admitted.add(request + " has no answer");
                }
            });
            return mesh.sentTo(CONTROL, QuotaAsk.class).get(0).seq();
        }

        void grant(long seq) {
            quotas.received(CONTROL, new QuotaGrant(SELF, seq, List.of(new QuotaLeave(TENANT.name(), 1, 0))));
        }
    }

    @Test
    void grantToAnEarlierProcessAdmitsNothing() {
        long ofEarlier = new Process().ask("request of the killed process");
        Process restarted = new Process();
        long own = restarted.ask("request");

        restarted.grant(ofEarlier);
        assertEquals(List.of(), admitted);
        restarted.grant(own);
        assertEquals(List.of("request"), admitted);
    }
}
