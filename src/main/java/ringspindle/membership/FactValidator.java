package ringspindle.membership;

import java.util.List;
import ringspindle.protocol.Codec;
import ringspindle.protocol.FrameException;
import ringspindle.protocol.Message.Engine;
import ringspindle.protocol.Message.Fact;
import ringspindle.protocol.Message.Lease;

/** Checks facts that come over the wire before any of them is taken. Pure. */
public final class FactValidator {
    private FactValidator() {}

    /** Throws if the value of any of these cannot be read; {@code FactValidator.check(news.items()); book.merge(news.items())}. */
    public static void check(List<Fact> items) {
        items.forEach(FactValidator::check);
    }

    private static void check(Fact item) {
        try {
            if (!readable(item)) {
                throw new FrameException(FrameException.Reason.GARBLED, "fact of kind " + item.kindCode());
            }
        } catch (FrameException x) {
            throw x;
        } catch (RuntimeException x) {
            throw new FrameException(FrameException.Reason.GARBLED, "fact of kind " + item.kindCode(), x);
        }
    }

    private static boolean readable(Fact item) {
        return switch (item.kind()) {
            case ENGINE -> Codec.decode(item.value()) instanceof Engine;
            case LEASE -> Codec.decode(item.value()) instanceof Lease;
            case NODE -> DataNodeFact.of(item.value()).hello() != null;
            case SILENT -> item.value().length == 1;
            default -> true;
        };
    }
}
