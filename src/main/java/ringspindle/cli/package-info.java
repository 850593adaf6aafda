/**
 * The operator's command line: parses commands, calls the control plane over HTTP, and prints results.
 *
 * <p>Owns no state beyond one run. Uses {@code api} for the calls, {@code config}, {@code routing}, {@code
 * loadbalancing} and {@code telemetry} for the control plane's own checks and rankings, {@code transport} for the HTTP
 * client, {@code quota} for what is granted of a limit, and, for the self-test only, {@code controlplane} and {@code dataplane}. Nothing but {@code Main} uses it.
 */
package ringspindle.cli;
