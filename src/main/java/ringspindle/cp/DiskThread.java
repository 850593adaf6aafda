package ringspindle.cp;

import com.google.common.flogger.*;
import java.io.*;
import java.util.*;
import java.util.concurrent.*;
import java.util.function.*;
import ringspindle.chain.Chain.Out.*;
import ringspindle.disk.*;
import ringspindle.wire.*;

/** Writes records in order and in groups; a disk that hangs holds up only this thread. */
final class DiskThread implements Runnable {
    private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
    private static final long LOG_MAX = 4 << 20;

    private final Disk disk;
    private final BlockingQueue<Store> inbox = new LinkedBlockingQueue<>();
    private final LongConsumer stored;
    private final Supplier<List<Msg>> durable;

    DiskThread(Disk disk, LongConsumer stored, Supplier<List<Msg>> durable) {
        this.disk = disk;
        this.stored = stored;
        this.durable = durable;
    }

    void take(Store s) {
        inbox.add(s);
    }

    @Override
    public void run() {
        List<Store> batch = new ArrayList<>();
        try {
            while (true) {
                batch.clear();
                batch.add(inbox.take());
                inbox.drainTo(batch);
                while (!write(batch)) {
                    Thread.sleep(200);
                }
                batch.forEach(s -> stored.accept(s.token()));
            }
        } catch (InterruptedException x) {
            Thread.currentThread().interrupt();
        }
    }

    private boolean write(List<Store> batch) {
        try {
            int from = 0;
            for (int i = batch.size() - 1; i >= 0; i--) {
                if (batch.get(i).image()) {
                    disk.image(batch.get(i).records());
                    from = i + 1;
                    break;
                }
            }
            List<Msg> rest = new ArrayList<>();
            for (Store s : batch.subList(from, batch.size())) {
                rest.addAll(s.records());
            }
            if (!rest.isEmpty()) {
                disk.append(rest);
            }
            if (disk.logBytes() > LOG_MAX) {
                disk.image(durable.get());
            }
            return true;
        } catch (IOException x) {
            LOG.atWarning().log("disk refuses: %s", x.toString());
            return false;
        }
    }
}
