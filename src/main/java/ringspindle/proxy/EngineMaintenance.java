package ringspindle.proxy;

/** The periodic work on engines of whoever runs requests there. */
public interface EngineMaintenance {
    /** No engines: nothing to do. */
    EngineMaintenance NONE = new EngineMaintenance() {
        @Override
        public void probeEngines() {
            // there are none
        }

        @Override
        public void tick() {
            // there are none
        }

        @Override
        public void closeIdleConnections() {
            // there are none
        }

        @Override
        public int active() {
            return 0;
        }
    };

    /** Asks ejected engines for their health, as far as that is due. */
    void probeEngines();

    /** Gives up engines that are silent. */
    void tick();

    /** Closes connections that are idle for too long, or lead to engines that are gone. */
    void closeIdleConnections();

    /** How many requests are under way. */
    int active();
}
