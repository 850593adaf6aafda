/**
 * The control plane's HTTP interface as a table: its operations and the outcomes of calls and requests.
 *
 * <p>Owns no state and uses no other package.
 */
package ringspindle.api;
