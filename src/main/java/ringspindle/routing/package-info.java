/**
 * Serving rules, which define class, affinity and fallbacks for the requests they match, and the ledger, which counts
 * the outcomes of requests by class.
 *
 * <p><b>Owns</b> the JSON form of rules documents, the validation of their content, and the counts of {@link
 * ringspindle.routing.RequestLedger}. Other packages store and replicate documents.
 *
 * <p>{@link ringspindle.routing.ServingRulesParser} parses a document, {@link
 * ringspindle.routing.ServingRulesValidator} checks its names against the configuration, and {@link
 * ringspindle.routing.ServingRules} is the result, which is immutable. The ledger synchronizes on its own monitor and
 * holds it only while counting or building a report.
 *
 * <p><b>May use</b> {@code config} (configuration and its errors), {@code protocol} (ledger reports) and {@code retry}
 * (terminal events). It does not read a clock.
 */
package ringspindle.routing;
