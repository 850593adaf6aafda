package ringspindle.routing;

/**
 * Which requests a rule is for; what is empty fits all.
 *
 * @param path a path prefix, as in routes
 * @param promptFrom the least prompt tokens
 * @param promptTo the most prompt tokens
 * @param home whether the request is bound to regions, null for either
 */
public record RequestMatcher(
        String route, String host, String path, String model, int promptFrom, int promptTo, Boolean home) {
    /** Fits every request. */
    public static final RequestMatcher ALL = new RequestMatcher("", "", "", "", 0, Integer.MAX_VALUE, null);

    /** {@code rule.match().fits(asked)}. */
    public boolean fits(RequestAttributes a) {
        return (route.isEmpty() || route.equals(a.route()))
                && (host.isEmpty() || host.equalsIgnoreCase(a.host()))
                && a.path().startsWith(path)
                && (model.isEmpty() || model.equals(a.model()))
                && a.promptTokens() >= promptFrom
                && a.promptTokens() <= promptTo
                && (home == null || home == a.homeBound());
    }

    /** True if whatever fits the other fits this one as well; {@code RequestMatcher.ALL.covers(any)}. */
    public boolean covers(RequestMatcher o) {
        return (route.isEmpty() || route.equals(o.route))
                && (host.isEmpty() || host.equalsIgnoreCase(o.host))
                && o.path.startsWith(path)
                && (model.isEmpty() || model.equals(o.model))
                && promptFrom <= o.promptFrom
                && promptTo >= o.promptTo
                && (home == null || home.equals(o.home));
    }
}
