/**
 * The control plane's main class and its HTTP interface: {@link ringspindle.controlplane.server.ControlPlane} starts
 * the node and the server, and {@code ControlApiHandler} dispatches each request. Each resource and each operators'
 * page has a class.
 *
 * <p>Uses the node of {@code controlplane}, which does not depend on this package. Without state of its own.
 */
package ringspindle.controlplane.server;
