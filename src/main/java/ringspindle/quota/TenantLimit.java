package ringspindle.quota;

/**
 * What a tenant may have over all nodes.
 *
 * @param ratePerS requests a second
 * @param burstSize requests on top
 */
public record TenantLimit(double ratePerS, double burstSize) {}
