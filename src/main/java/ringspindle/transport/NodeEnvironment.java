package ringspindle.transport;

import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import ringspindle.protocol.Message;
import ringspindle.time.MonotonicClock;

/**
 * What an owner of state machines works with: a clock, the number of its life, chance, threads, and a mesh that speaks for
 * the node a hello names. Hollow nodes get others of these than real ones. The life is drawn from the time of day, which may
 * go back; numbers that no other process may use come from chance.
 */
public record NodeEnvironment(
        MonotonicClock clock, long life, LongSupplier chance, Executor pool, Function<Message.Hello, Mesh> mesh) {

    /** Sockets, the steady clock and the given threads; {@code NodeEnvironment.real(Threads.start("dp", 20, 8))}. */
    public static NodeEnvironment real(Threads threads) {
        return new NodeEnvironment(
                MonotonicClock.system(),
                System.currentTimeMillis(),
                new SecureRandom()::nextLong,
                threads.pool(),
                hello -> Mesh.create(hello, threads.pool(), threads.timers()));
    }
}
