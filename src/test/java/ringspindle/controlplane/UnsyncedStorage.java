package ringspindle.controlplane;

import java.nio.file.Path;
import java.util.concurrent.Executor;
import ringspindle.storage.UnsyncedFolder;

/** Storage of a real control node that loses unsynced writes when its process is killed. */
public final class UnsyncedStorage {
    private UnsyncedStorage() {}

    /** Opens storage in the folder. */
    public static DiskStorage open(Path folder, Executor pool) {
        return new DiskStorage(folder, UnsyncedFolder::new, pool);
    }
}
