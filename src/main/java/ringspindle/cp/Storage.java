package ringspindle.cp;

import java.io.IOException;
import java.util.Collection;
import java.util.List;
import java.util.function.LongConsumer;
import ringspindle.chain.Chain;
import ringspindle.wire.Msg;
import ringspindle.wire.Msg.Item;

/** What a control node keeps over its ends. */
interface Storage {
    /** Records found, oldest first; {@code storage.load()} once. */
    List<Msg> load() throws IOException;

    /**
     * From now on records are written; {@code stored} hears of each token that is synced. {@code compact} is called when the
     * log is long: it must {@link #take} an image of what counts, with token {@link DiskThread#COMPACTION}, in order with
     * all other records.
     */
    void open(LongConsumer stored, Runnable compact);

    /** Write these. */
    void take(Chain.Out.Store s);

    /** Engines as a hint for the time right after a start. */
    List<Item> engines();

    /** Keeps that hint. */
    void keep(Collection<Item> engines);
}
