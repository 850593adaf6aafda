package ringspindle.replication;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.util.List;
import java.util.stream.Collectors;
import ringspindle.api.Outcome;
import ringspindle.config.ConfigError;
import ringspindle.protocol.Message.Call;
import ringspindle.protocol.Message.Op;

/** The decision on a command for a given state. */
sealed interface Decision {
    /** The command changes the state: the operation must be committed before it is acknowledged. */
    record Commit(Op op) implements Decision {}

    /** The command changes nothing: it is rejected, or already in effect. */
    record Answer(Outcome outcome, byte[] body) implements Decision {}

    /** Returns a commit of a command without a digest. */
    static Decision commit(Call command, byte[] body) {
        return commit(command, 0, 0, body);
    }

    /** Returns a commit that leads to a revision; {@code digest} identifies the command if it is sent again. */
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
