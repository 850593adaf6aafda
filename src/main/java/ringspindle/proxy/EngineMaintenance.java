package ringspindle.proxy;

/** The periodic work on engines of whoever runs requests there. */
public interface EngineMaintenance {
    /** Asks ejected engines for their health, as far as that is due. */
    void probeEngines();

    /** Gives up engines that are silent. */
    void tick();

    /** Closes connections that are idle for too long, or lead to engines that are gone. */
    void closeIdleConnections();

    /** How many requests are under way. */
    int active();
}
