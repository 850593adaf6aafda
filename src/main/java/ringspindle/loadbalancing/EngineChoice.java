package ringspindle.loadbalancing;

/**
 * Result of a {@link SelectionPolicy}.
 *
 * @param engine the chosen engine, or null if no candidate is suitable
 * @param limitedByWarmup if there is no engine, whether one was rejected only because it is warming up
 */
record EngineChoice(EngineEntry engine, boolean limitedByWarmup) {
    static EngineChoice of(EngineEntry engine) {
        return new EngineChoice(engine, false);
    }

    static EngineChoice none(boolean limitedByWarmup) {
        return new EngineChoice(null, limitedByWarmup);
    }
}
