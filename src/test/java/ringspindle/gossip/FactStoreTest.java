package ringspindle.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import ringspindle.protocol.FactKind;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.NodeId;

/** News spreads over lossy gossip, the newer wins, and digests mend what was lost. */
class FactStoreTest {
    private static Fact item(int kind, String key, long life, long version) {
        return new Fact(kind, key, life, version, new byte[] {(byte) version});
    }

    @Test
    void newerWinsWhateverTheOrder() {
        List<Fact> items = List.of(
                item(1, "", 0, 3), item(1, "", 0, 9), item(1, "", 0, 5), item(5, "n", 7, 2), item(5, "n", 8, 1));
        Random luck = new Random(1);
        for (int i = 0; i < 50; i++) {
            List<Fact> mixed = new ArrayList<>(items);
            Collections.shuffle(mixed, luck);
            FactStore b = FactStore.create();
            mixed.forEach(x -> b.merge(List.of(x)));
            assertEquals(9, b.get(FactKind.CONFIG, "").version());
            assertEquals(8, b.get(FactKind.NODE, "n").life());
        }
    }

    @Test
    void lossyRingComesToOneBook() {
        for (long seed = 1; seed <= 20; seed++) {
            Random luck = new Random(seed);
            int n = 9;
            List<FactStore> books = new ArrayList<>();
            List<NodeId> ids = new ArrayList<>();
            for (int i = 0; i < n; i++) {
                books.add(FactStore.create());
                ids.add(NodeId.of("10.0.0." + (i + 1) + ":7721"));
            }
            for (int round = 0; round < 400; round++) {
                if (round < 150) {
                    books.get(luck.nextInt(n))
                            .merge(List.of(item(1 + luck.nextInt(3), "k" + luck.nextInt(20), 0, round)));
                }
                for (int i = 0; i < n; i++) {
                    int to = (i + 1) % n;
                    pass(books, ids, i, to, luck, round);
                    pass(books, ids, to, i, luck, round);
                }
            }
            for (FactStore b : books) {
                assertEquals(books.get(0).digest(), b.digest(), "seed " + seed);
            }
        }
    }

    private static void pass(List<FactStore> books, List<NodeId> ids, int from, int to, Random luck, int round) {
        List<Fact> items = books.get(from).pending(ids.get(to), 64);
        if (luck.nextInt(4) != 0) {
            books.get(to).merge(items);
            books.get(to).told(ids.get(from), items);
        }
        if (round % 10 == 0 && books.get(from).digest() != books.get(to).digest()) {
            books.get(to).merge(books.get(from).differing(books.get(to).ranges()));
        }
    }

    @Test
    void factsOfKindsNotKnownHereAreKeptAndPassedOn() {
        FactStore store = FactStore.create();
        List<Fact> newer = List.of(item(200, "k", 0, 1), item(201, "k", 0, 1));
        assertEquals(newer, store.merge(newer));
        assertEquals(newer, store.pending(NodeId.of("10.0.0.1:1"), 10));
        assertEquals(newer, store.differing(FactStore.create().ranges()));
    }

    @Test
    void whatAPeerSaidDoesNotGoBackToIt() {
        FactStore b = FactStore.create();
        NodeId peer = NodeId.of("10.0.0.1:1");
        List<Fact> said = List.of(item(4, "i-1", 0, 1));
        b.merge(said);
        b.told(peer, said);
        b.merge(List.of(item(4, "i-2", 0, 1)));
        assertEquals(List.of("i-2"), b.pending(peer, 10).stream().map(Fact::key).toList());
        assertEquals(List.of(), b.pending(peer, 10));
    }
}
