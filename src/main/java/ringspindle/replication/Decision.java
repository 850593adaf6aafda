package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.stream.Collectors;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Op;

/** What an order comes to on the state that it was decided on. */
sealed interface Decision {
    /** It changes the state: the operation has to be committed before it is acknowledged. */
    record Commit(Op op) implements Decision {}

    /** It changes nothing: it is refused, or already so. */
    record Answer(Outcome outcome, byte[] body) implements Decision {}

    /** An order that changes the state, known by no digest. */
    static Decision commit(Call command, byte[] body) {
        return commit(command, 0, 0, body);
    }

    /** An order that brings the state to a revision; {@code digest} tells it from others when it is sent again. */
    static Decision commit(Call command, long revision, long digest, byte[] body) {
        return new Commit(new Op(command.kind(), command.base(), revision, digest, command.arg(), body));
    }

    static Decision answer(Outcome outcome) {
        return new Answer(outcome, new byte[0]);
    }

    static Decision invalid(String reason) {
        return new Answer(Outcome.INVALID, reason.getBytes(UTF_8));
    }

    static Decision invalid(List<ConfigError> errors) {
        return invalid(errors.stream().map(ConfigError::text).collect(Collectors.joining("; ")));
    }
}
