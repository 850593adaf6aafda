package ringspindle;

import java.util.concurrent.CountDownLatch;
import sun.misc.Signal;

/**
 * The signals by which the platform speaks to a daemon. They are handled before anything else is done: to a process that
 * handles no SIGHUP yet it is an order to end. Thread safe.
 *
 * <pre>{@code
 * DaemonSignals signals = new DaemonSignals();
 * signals.install();
 * Settings settings = read(file);
 * signals.onReload(() -> settings.reload(read(file)));
 * signals.terminated().await();
 * }</pre>
 */
final class DaemonSignals {
    private final CountDownLatch terminated = new CountDownLatch(1);
    /** Null before the settings are read for the first time. */
    private Runnable reload;

    private boolean reloadDue;
    private boolean installed;

    /** Handles SIGTERM, SIGINT and SIGHUP from now on; another call changes nothing. */
    synchronized void install() {
        if (installed) {
            return;
        }
        installed = true;
        Signal.handle(new Signal("HUP"), signal -> reload());
        Signal.handle(new Signal("TERM"), signal -> terminated.countDown());
        Signal.handle(new Signal("INT"), signal -> terminated.countDown());
    }

    /** Counted down when the process is to end. */
    CountDownLatch terminated() {
        return terminated;
    }

    /** What a SIGHUP leads to; done at once if one has come before. */
    synchronized void onReload(Runnable action) {
        reload = action;
        if (reloadDue) {
            reload();
        }
    }

    /** The settings file has changed. */
    synchronized void reload() {
        reloadDue = reload == null;
        if (reload != null) {
            reload.run();
        }
    }
}
