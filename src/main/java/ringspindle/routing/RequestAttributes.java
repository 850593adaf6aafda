package ringspindle.routing;

/**
 * Request attributes that serving rules can match. Neither the body nor the identity of the client is included.
 *
 * @param route name of the matched route
 * @param model requested model, empty if none
 * @param promptTokens prompt length in tokens, 0 without a prompt
 * @param homeBound whether the request is restricted to its home regions
 */
public record RequestAttributes(
        String route, String host, String path, String model, int promptTokens, boolean homeBound) {}
