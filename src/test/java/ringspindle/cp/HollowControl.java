package ringspindle.cp;

import java.util.*;
import java.util.function.*;
import org.eclipse.jetty.server.*;
import ringspindle.api.*;
import ringspindle.chain.*;
import ringspindle.conf.*;
import ringspindle.wire.*;
import ringspindle.wire.Msg.*;

/** A real control node without sockets and disk: ticked, called and fed from outside. */
public final class HollowControl {
    private static final int SYNC_MS = 2;

    private final Control control;

    /** A timer of whoever runs it. */
    public interface Later {
        void at(double inMs, Runnable r);
    }

    public HollowControl(NodeConfig config, Means means, Later later) throws Exception {
        control = new Control(config, means, new Storage() {
            private LongConsumer stored;

            @Override
            public List<Msg> load() {
                return List.of();
            }

            @Override
            public void open(LongConsumer then, Runnable compact) {
                stored = then;
            }

            @Override
            public void take(Chain.Out.Store s) {
                s.records().forEach(Codec::encode);
                later.at(SYNC_MS, () -> stored.accept(s.token()));
            }

            @Override
            public List<Item> engines() {
                return List.of();
            }

            @Override
            public void keep(Collection<Item> engines) {
                // a hint that nobody reads here
            }
        }, null);
        control.start();
    }

    public static int tickMs() {
        return Control.TICK_MS;
    }

    public void tick() {
        control.tick();
    }

    public void heartbeat(String id, Engine e, long seq) {
        control.heartbeat(id, e, seq);
    }

    public void put(long base, byte[] body, Consumer<Outcome> then) {
        control.call(Chain.PUT, base, "", body, (o, b) -> then.accept(o));
    }

    public void rules(long base, byte[] body, Consumer<Outcome> then) {
        control.call(Chain.RULES, base, "", body, (o, b) -> then.accept(o));
    }

    /** What nodes that report here say they follow. */
    public Map<NodeId, Long> followed() {
        Map<NodeId, Long> out = new TreeMap<>();
        control.ledgers().forEach((node, lives) -> lives.forEach(l -> out.merge(node, l.report().revision(), Math::max)));
        return out;
    }

    /** The calls of engines, operators and consumers, for a server of whoever runs it. */
    public Handler gate() {
        return new Gate(control);
    }

    public boolean quorate() {
        return control.quorate();
    }

    public int voters() {
        return control.view() == null ? 0 : control.view().voters().size();
    }

    public boolean head() {
        return control.view() != null && control.view().head().equals(control.me());
    }

    public int frontends() {
        return control.ready();
    }

    public ringspindle.sum.Sum total() {
        return control.total();
    }
}
