package ringspindle.metrics;

import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * The figures of one process. Each is read when the page is asked for, so suppliers must be thread safe and must not block.
 * Names end with their unit ({@code _seconds}, {@code _bytes}); counters get {@code _total} on the page. Thread safe once all
 * figures are defined.
 *
 * <pre>{@code
 * Metrics metrics = new Metrics()
 *         .gauge("ringspindle_requests_active", "Requests under way.", proxy::active)
 *         .counter("ringspindle_requests", "Requests that ended, by how.", "end", proxy::endCounts);
 * byte[] page = metrics.page();
 * }</pre>
 */
public final class Metrics {
    /** Content type of {@link #page}. */
    public static final String CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8";

    private static final int PAGE_BYTES = 4096;

    private final List<Consumer<PrometheusRegistry>> definitions = new ArrayList<>();
    /** Null before the first scrape; guarded by this object. */
    private PrometheusRegistry registry;

    /** Adds a figure that may rise and fall. */
    public Metrics gauge(String name, String help, DoubleSupplier value) {
        definitions.add(target -> GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(page -> page.call(value.getAsDouble()))
                .register(target));
        return this;
    }

    /** Adds gauges that differ in the value of one label, of which there are few. */
    public Metrics gauges(
            String name, String help, String label, Supplier<? extends Map<String, ? extends Number>> values) {
        definitions.add(target -> GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(page -> values.get().forEach((key, value) -> page.call(value.doubleValue(), key)))
                .register(target));
        return this;
    }

    /** Adds a figure that only rises while the process lives. */
    public Metrics counter(String name, String help, LongSupplier value) {
        definitions.add(target -> CounterWithCallback.builder()
                .name(name)
                .help(help)
                .callback(page -> page.call(value.getAsLong()))
                .register(target));
        return this;
    }

    /** Adds counters that differ in the value of one label, of which there are few. */
    public Metrics counters(String name, String help, String label, Supplier<Map<String, Long>> values) {
        definitions.add(target -> CounterWithCallback.builder()
                .name(name)
                .help(help)
                .labelNames(label)
                .callback(page -> values.get().forEach((key, value) -> page.call(value, key)))
                .register(target));
        return this;
    }

    /**
     * All figures as they are now, in the text format that scrapers know.
     *
     * @throws IOException never in practice, as the page is written to memory
     */
    public byte[] page() throws IOException {
        ByteArrayOutputStream page = new ByteArrayOutputStream(PAGE_BYTES);
        PrometheusTextFormatWriter.create().write(page, registry().scrape());
        return page.toByteArray();
    }

    private synchronized PrometheusRegistry registry() {
        if (registry == null) {
            registry = new PrometheusRegistry();
            definitions.forEach(definition -> definition.accept(registry));
        }
        return registry;
    }
}
