/**
 * The control plane's program and its HTTP interface: {@link ringspindle.controlplane.server.ControlPlane} starts the node and
 * the server, {@code ControlApiHandler} passes each call on, with a class a resource and a class an operators' page.
 *
 * <p>Uses the node of {@code controlplane}, which knows nothing of it. Has no state of its own.
 */
package ringspindle.controlplane.server;
