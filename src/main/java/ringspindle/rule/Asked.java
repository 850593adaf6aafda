package ringspindle.rule;

/** What rules may look at in a request; nothing of its body, nothing of who sent it. */
public record Asked(String route, String host, String path, String model, int promptTokens, boolean homeBound) {}
