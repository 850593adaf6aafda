package ringspindle.routing;

/**
 * What serving rules may look at in a request; nothing of its body, nothing of who sent it.
 *
 * @param route name of the route that it came in by
 * @param model model that it asks for, empty if none
 * @param promptTokens tokens of its prompt, 0 if it has none
 * @param homeBound whether it is bound to regions
 */
public record RequestAttributes(
        String route, String host, String path, String model, int promptTokens, boolean homeBound) {}
