package ringspindle.dp;
import java.util.concurrent.*;
import ringspindle.conf.*;
public final class DataPlane { public static void run(NodeConfig c, CountDownLatch t) throws Exception { t.await(); } }
