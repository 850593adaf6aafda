package ringspindle.experiment;

/**
 * Where an outcome is counted.
 *
 * @param side index of the side
 * @param route index of the route
 * @param group group of sessions
 */
public record Cell(int side, int route, int group) {}
