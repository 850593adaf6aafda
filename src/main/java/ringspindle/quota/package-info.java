/**
 * One count for the whole fleet: how many requests of a tenant may be admitted. The head of the view has a bucket of tokens for each
 * tenant; data nodes ask it for tokens, which are good for a moment only. State machines: time comes in as calls. May use
 * {@code protocol}; used by {@code cli}, {@code dataplane} and {@code controlplane}.
 */
package ringspindle.quota;
