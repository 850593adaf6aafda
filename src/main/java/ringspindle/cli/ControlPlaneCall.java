package ringspindle.cli;

import java.util.Optional;
import java.util.OptionalLong;
import ringspindle.api.Operation;

/**
 * One call of the control plane's HTTP interface.
 *
 * @param operation what is called
 * @param argument the last part of the path, empty for operations that take none
 * @param baseRevision the revision that must be in force ({@code If-Match}), empty for no condition
 * @param body the JSON to send, empty for none
 */
record ControlPlaneCall(Operation operation, String argument, OptionalLong baseRevision, Optional<byte[]> body) {
    /** A call without argument, condition and body. */
    static ControlPlaneCall of(Operation operation) {
        return of(operation, "");
    }

    /** A call on the thing that {@code argument} names. */
    static ControlPlaneCall of(Operation operation, String argument) {
        return new ControlPlaneCall(operation, argument, OptionalLong.empty(), Optional.empty());
    }

    /** The same call on condition that {@code revision} is in force. */
    ControlPlaneCall ifRevision(long revision) {
        return new ControlPlaneCall(operation, argument, OptionalLong.of(revision), body);
    }

    /** The same call with a JSON body. */
    ControlPlaneCall withBody(byte[] json) {
        return new ControlPlaneCall(operation, argument, baseRevision, Optional.of(json));
    }
}
