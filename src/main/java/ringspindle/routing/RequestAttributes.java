package ringspindle.routing;

/** What rules may look at in a request; nothing of its body, nothing of who sent it. */
public record RequestAttributes(
        String route, String host, String path, String model, int promptTokens, boolean homeBound) {}
