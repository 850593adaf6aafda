/**
 * Serving rules: which rule applies to a request, and what it says of class, affinity and fallbacks; and the ledger of what
 * became of the requests of each class.
 *
 * <p><b>Owns</b> the JSON form of rules documents, the texts of what is wrong in them, and the counts of {@link
 * ringspindle.routing.RequestLedger}. Documents are stored and passed on by others.
 *
 * <p>{@link ringspindle.routing.ServingRulesParser} reads a document by itself, {@link
 * ringspindle.routing.ServingRulesValidator} checks its names against the configuration, and {@link
 * ringspindle.routing.ServingRules} is the result, which is immutable. The ledger is thread safe by its own monitor, which it
 * holds for counting only.
 *
 * <p><b>May use</b> {@code config} (configuration and its errors), {@code protocol} (ledger reports) and {@code retry}
 * (terminal events). It reads no clock.
 */
package ringspindle.routing;
