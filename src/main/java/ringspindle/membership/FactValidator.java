package ringspindle.membership;

import java.util.List;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;
import ringspindle.protocol.ShardMessage.StorageReport;

/** Checks facts that come from other nodes before any of them is taken. */
public final class FactValidator {
    private FactValidator() {}

    /**
     * Throws {@link FrameException} if the value of any of these cannot be read;
     * {@code FactValidator.check(news.items()); store.merge(news.items())}. Facts of kinds that this program does not know
     * pass: nothing here reads their values.
     */
    public static void check(List<Fact> facts) {
        facts.forEach(FactValidator::check);
    }

    private static void check(Fact fact) {
        try {
            if (!readable(fact)) {
                throw garbled(fact, null);
            }
        } catch (FrameException e) {
            throw e;
        } catch (RuntimeException e) {
            throw garbled(fact, e);
        }
    }

    private static boolean readable(Fact fact) {
        return switch (fact.kind()) {
            case ENGINE -> Codec.decode(fact.value()) instanceof Engine;
            case LEASE -> Codec.decode(fact.value()) instanceof Lease;
            case NODE -> DataNodeFact.of(fact.value()).hello() != null;
            case STORAGE -> Codec.decode(fact.value()) instanceof StorageReport;
            case SILENT -> fact.value().length == 1;
            default -> true;
        };
    }

    private static FrameException garbled(Fact fact, Throwable cause) {
        return new FrameException(FrameException.Reason.GARBLED, "fact of kind " + fact.kindCode(), cause);
    }
}
