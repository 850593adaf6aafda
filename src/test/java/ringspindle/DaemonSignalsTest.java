package ringspindle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A change of the settings that is told of while a daemon starts is neither lost nor made twice. */
class DaemonSignalsTest {
    private final DaemonSignals signals = new DaemonSignals();
    private int reloads;

    @Test
    void signalBeforeTheSettingsAreReadIsActedOnOnceTheyAre() {
        signals.reload();
        signals.reload();
        signals.onReload(() -> reloads++);
        assertEquals(1, reloads);
        signals.reload();
        assertEquals(2, reloads);
    }

    @Test
    void withoutASignalNothingIsReadAgain() {
        signals.onReload(() -> reloads++);
        assertEquals(0, reloads);
        assertEquals(1, signals.terminated().getCount());
    }
}
