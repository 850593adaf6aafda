package ringspindle.tenancy;

import ringspindle.config.Tenant;

/** Who sends a request, as its key tells. */
public sealed interface Identity {
    /**
     * There are no tenants, or the route is public and no key says more.
     *
     * @param amongTenants there are tenants, so that keys and names of tenants are nothing for engines
     */
    record Anyone(boolean amongTenants) implements Identity {}

    /** The key is a tenant's. */
    record Known(Tenant tenant) implements Identity {}

    /** There is no proper key, or nobody holds it. */
    record Unknown() implements Identity {}

    /** What is known of keys here may be too old: a key may have been withdrawn since. */
    record Uncertain() implements Identity {}
}
