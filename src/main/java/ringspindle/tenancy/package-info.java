/**
 * Who asks: which tenant holds the key of a request, and whether what is known of keys is new enough to go by. State machines: time
 * comes in as calls. May use {@code config}; used by {@code proxy}.
 */
package ringspindle.tenancy;
