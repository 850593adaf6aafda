package ringspindle.gossip;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
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
            books.get(to).markKnown(ids.get(from), items);
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

    /** Nodes of other versions compare digests with ours: these are the numbers of the code of commit 879a0b1. */
    @Test
    void digestsAreTheSameInEveryVersion() {
        FactStore store = FactStore.create();
        for (int kind = 1; kind <= 11; kind++) {
            for (int key = 0; key < 7; key++) {
                store.merge(List.of(item(kind, "i-" + key, kind * 1000L - key, key * 7L + 1)));
            }
        }
        store.merge(List.of(item(4, "i-3", 5000, 1), item(1, "", 0, 9), item(200, "größe", Long.MAX_VALUE, -1)));
        store.forget(FactKind.EVACUATED, "i-2");
        assertEquals(3378629866848759311L, store.digest());
        assertArrayEquals(
                new long[] {
                    -3199663751557017457L,
                    7513185425729985068L,
                    -1671087167727923091L,
                    91339630483419917L,
                    5251360463584151653L,
                    258570795001290152L,
                    8328466880348268689L,
                    9036745967994620081L,
                    -2075690556469635079L,
                    -3446863325416150482L,
                    -6157363797654602987L,
                    1175433364785466646L,
                    2098166753400406284L,
                    1527257218988934448L,
                    258115675678300952L,
                    8989380541978693865L
                },
                store.ranges());
    }

    @Test
    void whatAPeerSaidDoesNotGoBackToIt() {
        FactStore b = FactStore.create();
        NodeId peer = NodeId.of("10.0.0.1:1");
        List<Fact> said = List.of(item(4, "i-1", 0, 1));
        b.merge(said);
        b.markKnown(peer, said);
        b.merge(List.of(item(4, "i-2", 0, 1)));
        assertEquals(List.of("i-2"), b.pending(peer, 10).stream().map(Fact::key).toList());
        assertEquals(List.of(), b.pending(peer, 10));
    }
}
