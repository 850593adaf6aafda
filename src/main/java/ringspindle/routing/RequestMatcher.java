package ringspindle.routing;

/**
 * Which requests a rule is for. What is empty matches all.
 *
 * @param path prefix of paths, as in routes
 * @param minPromptTokens least prompt tokens, included
 * @param maxPromptTokens most prompt tokens, included
 * @param homeBound whether the request must be bound to regions; null for either
 */
public record RequestMatcher(
        String route,
        String host,
        String path,
        String model,
        int minPromptTokens,
        int maxPromptTokens,
        Boolean homeBound) {
    /** Matches every request. */
    public static final RequestMatcher ALL = new RequestMatcher("", "", "", "", 0, Integer.MAX_VALUE, null);

    /** Whether the request matches in all respects. */
    public boolean matches(RequestAttributes request) {
        return (route.isEmpty() || route.equals(request.route()))
                && (host.isEmpty() || host.equalsIgnoreCase(request.host()))
                && request.path().startsWith(path)
                && (model.isEmpty() || model.equals(request.model()))
                && request.promptTokens() >= minPromptTokens
                && request.promptTokens() <= maxPromptTokens
                && (homeBound == null || homeBound == request.homeBound());
    }

    /** Whether each request that matches the other one matches this one as well. */
    public boolean covers(RequestMatcher other) {
        return (route.isEmpty() || route.equals(other.route))
                && (host.isEmpty() || host.equalsIgnoreCase(other.host))
                && other.path.startsWith(path)
                && (model.isEmpty() || model.equals(other.model))
                && minPromptTokens <= other.minPromptTokens
                && maxPromptTokens >= other.maxPromptTokens
                && (homeBound == null || homeBound.equals(other.homeBound));
    }
}
