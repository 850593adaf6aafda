package ringspindle.loadbalancing;

/**
 * What a policy chose.
 *
 * @param engine the engine, or null if no candidate will do
 * @param limitedByWarmup for no engine: whether one would do if it were not warming up
 */
record EngineChoice(EngineEntry engine, boolean limitedByWarmup) {
    static EngineChoice of(EngineEntry engine) {
        return new EngineChoice(engine, false);
    }

    static EngineChoice none(boolean limitedByWarmup) {
        return new EngineChoice(null, limitedByWarmup);
    }
}
