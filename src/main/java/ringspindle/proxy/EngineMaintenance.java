package ringspindle.proxy;

/** Periodic maintenance of the engines that a component sends requests to. */
public interface EngineMaintenance {
    /** Maintenance of no engines. */
    EngineMaintenance NONE = new EngineMaintenance() {
        @Override
        public void probeEngines() {
            // There are no engines.
        }

        @Override
        public void tick() {
            // There are no engines.
        }

        @Override
        public void closeIdleConnections() {
            // There are no engines.
        }

        @Override
        public int active() {
            return 0;
        }
    };

    /** Sends the health probes to ejected engines that are due. */
    void probeEngines();

    /** Times out attempts at engines that send nothing. */
    void tick();

    /** Closes connections that have been idle for too long or lead to removed engines. */
    void closeIdleConnections();

    /** Returns the number of requests in progress. */
    int active();
}
