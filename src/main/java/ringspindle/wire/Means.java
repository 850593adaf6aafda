package ringspindle.wire;

import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;

/**
 * What an owner of state machines works with: a clock, the number of its life, chance, threads, and a mesh that speaks for
 * the node a hello names. Hollow nodes get others of these than real ones. The life is drawn from the time of day, which may
 * go back; numbers that no other process may use come from chance.
 */
public record Means(Steady clock, long life, LongSupplier chance, Executor pool, Function<Msg.Hello, Mesh> mesh) {

    /** Sockets, the steady clock and the given threads; {@code Means.real(Threads.start("dp", 20, 8))}. */
    public static Means real(Threads threads) {
        return new Means(
                Steady.system(),
                System.currentTimeMillis(),
                new SecureRandom()::nextLong,
                threads.pool(),
                hello -> Mesh.create(hello, threads.pool(), threads.timers()));
    }
}
