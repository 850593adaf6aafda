package ringspindle.routing;

/**
 * Conditions that a request must meet for a rule to apply. An empty string matches every value.
 *
 * @param path path prefix, as in routes
 * @param minPromptTokens minimum prompt length in tokens, inclusive
 * @param maxPromptTokens maximum prompt length in tokens, inclusive
 * @param homeBound whether the request must be restricted to its home regions; null matches both
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

    /** Returns whether the request meets all conditions. */
    public boolean matches(RequestAttributes request) {
        return (route.isEmpty() || route.equals(request.route()))
                && (host.isEmpty() || host.equalsIgnoreCase(request.host()))
                && request.path().startsWith(path)
                && (model.isEmpty() || model.equals(request.model()))
                && request.promptTokens() >= minPromptTokens
                && request.promptTokens() <= maxPromptTokens
                && (homeBound == null || homeBound == request.homeBound());
    }

    /** Returns whether every request that matches the other matcher also matches this one. */
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
