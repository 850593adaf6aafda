/**
 * What tenants use, by windows of the wall clock: counted where requests run, and summed by the head of the view. State machines:
 * time comes in as calls. May use {@code protocol}; used by {@code dataplane} and {@code controlplane}.
 */
package ringspindle.metering;
