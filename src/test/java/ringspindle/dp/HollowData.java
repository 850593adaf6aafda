package ringspindle.dp;

import java.util.Map;
import ringspindle.conf.FleetConfig;
import ringspindle.conf.NodeConfig;
import ringspindle.edge.Edge;
import ringspindle.pick.Picker;
import ringspindle.rule.Ledger;
import ringspindle.rule.ServingRules;
import ringspindle.wire.Means;
import ringspindle.wire.Msg.LedgerReport;

/** A real data node's knowledge and choices without its clients' side: ticked from outside. */
public final class HollowData implements Edge {
    private final Data data;
    private final Picker picker;
    private boolean confirmed;
    private long revision = -1;
    private long rules;
    private long digest;

    /** Starts a data node without a listener. */
    public HollowData(NodeConfig config, Means means) throws Exception {
        picker = Picker.create(config);
        data = new Data(config, this, picker, means);
        data.start();
    }

    /** Milliseconds between two ticks. */
    public static int tickMs() {
        return Data.TICK_MS;
    }

    /** Does the periodic work. */
    public void tick() {
        data.tick();
    }

    /** The node's choice of engines. */
    public Picker picker() {
        return picker;
    }

    /** The revision in force here, below 0 while there is none. */
    public long revision() {
        return revision;
    }

    @Override
    public void config(FleetConfig c) {
        revision = c.revision();
    }

    @Override
    public void rules(ServingRules r) {
        if (r.revision() > rules) {
            rules = r.revision();
            digest = r.digest();
        }
    }

    @Override
    public LedgerReport ledger(long life, long seq) {
        return new Ledger().report(life, seq, rules, digest);
    }

    /** The serving rules in force here, 0 while there are none. */
    public long rules() {
        return rules;
    }

    @Override
    public void confirm() {
        confirmed = true;
    }

    @Override
    public boolean ready() {
        return confirmed && revision >= 0;
    }

    @Override
    public void probe() {
        picker.probes(0);
    }

    @Override
    public void tidy() {
        // no connections here
    }

    @Override
    public Map<String, Long> ends() {
        return Map.of();
    }
}
