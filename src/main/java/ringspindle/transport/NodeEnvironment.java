package ringspindle.transport;

import java.security.SecureRandom;
import java.util.concurrent.Executor;
import java.util.function.Function;
import java.util.function.LongSupplier;
import ringspindle.protocol.Message;
import ringspindle.time.MonotonicClock;

/**
 * What the owner of a node's state machines works with. Nodes of a simulated fleet get others of these than real ones.
 *
 * @param clock decides what is late
 * @param incarnation the number of this process of the node, higher than of earlier ones; it is drawn from the time of day,
 *     which may go back
 * @param random numbers that no other process may use
 * @param pool runs what must not hold up a caller
 * @param meshFactory makes the mesh that speaks for the node a greeting names
 */
public record NodeEnvironment(
        MonotonicClock clock,
        long incarnation,
        LongSupplier random,
        Executor pool,
        Function<Message.Hello, Mesh> meshFactory) {

    /**
     * Sockets, the monotonic clock and the given threads; {@code NodeEnvironment.real(Threads.start("dp", 20, 8), "10.0.0.1")}.
     *
     * @param bindIp the address to listen at for other nodes
     */
    public static NodeEnvironment real(Threads threads, String bindIp) {
        return new NodeEnvironment(
                MonotonicClock.system(),
                System.currentTimeMillis(),
                new SecureRandom()::nextLong,
                threads.pool(),
                greeting -> Mesh.create(greeting, bindIp, threads.pool(), threads.scheduler()));
    }
}
