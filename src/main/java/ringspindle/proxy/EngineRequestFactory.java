package ringspindle.proxy;

import java.net.URI;
import java.util.Set;
import org.eclipse.jetty.client.BytesRequestContent;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpMethod;
import ringspindle.protocol.NodeId;

/**
 * Creates the requests that are sent to engines: method, path and body are those of the client, its headers are copied
 * except for the hop-by-hop ones, and the headers set by the proxy are added.
 */
final class EngineRequestFactory {
    /** The least urgent value of {@code Request-Urgency}; 0 is the most urgent. */
    private static final int URGENCY_MAX = 9;

    private static final Set<String> SET_BY_PROXY =
            Set.of("content-length", "deadline-ms", "target-instance", "request-urgency", "expect");
    private static final Set<String> SET_BY_PROXY_ON_RESUME = Set.of("last-event-id", "expected-revision");

    private final HttpClient client;

    EngineRequestFactory(HttpClient client) {
        this.client = client;
    }

    /**
     * Creates the request for one attempt.
     *
     * @param timeLeftMs how long the engine may work on it
     * @param resumeFrom the position of the client's stream if this attempt resumes it, else null
     */
    Request create(
            AdmittedRequest admitted, NodeId address, String instanceId, long timeLeftMs, StreamPosition resumeFrom) {
        Request engineRequest =
                forAddress(client, address, admitted.request().getHttpURI().getPathQuery());
        engineRequest.method(admitted.request().getMethod()).headers(fields -> {
            copyFields(admitted.headers(), fields, resumeFrom != null);
            putTenant(admitted, fields);
            fields.put(Headers.DEADLINE_MS, Long.toString(Math.max(1, timeLeftMs)));
            fields.put(Headers.TARGET_INSTANCE, instanceId);
            if (admitted.isStreaming()) {
                int urgency = Math.max(0, Math.min(URGENCY_MAX, admitted.priority()));
                fields.put(Headers.REQUEST_URGENCY, Integer.toString(urgency));
            }
            if (resumeFrom != null) {
                putPosition(fields, resumeFrom);
            }
        });
        if (admitted.body().length > 0) {
            engineRequest.body(new BytesRequestContent((String) null, admitted.body()));
        }
        return engineRequest;
    }

    /**
     * Creates the request for one attempt of an item of a batch job. It has no deadline; closing the connection cancels
     * it.
     *
     * @param resumeFrom the position of the item's output if this attempt resumes it, else null
     */
    static Request forItem(
            HttpClient client, ItemClient.Item item, NodeId address, String instanceId, StreamPosition resumeFrom) {
        Request engineRequest = forAddress(client, address, item.path());
        engineRequest.method(HttpMethod.POST).headers(fields -> {
            item.headers().forEach(fields::add);
            fields.put(HttpHeader.HOST, item.host());
            fields.put(Headers.ATTEMPT_ID, item.attemptId());
            fields.put(Headers.TARGET_INSTANCE, instanceId);
            fields.put(Headers.REQUEST_URGENCY, Integer.toString(URGENCY_MAX));
            if (!item.tenant().isEmpty()) {
                fields.put(Headers.TENANT, item.tenant());
            }
            if (resumeFrom != null) {
                putPosition(fields, resumeFrom);
            }
        });
        engineRequest.body(new BytesRequestContent((String) null, item.body()));
        return engineRequest;
    }

    private static Request forAddress(HttpClient client, NodeId address, String pathAndQuery) {
        try {
            return client.newRequest(URI.create("http://" + address + pathAndQuery));
        } catch (IllegalArgumentException notAUri) {
            // The path is forwarded unchanged even if it is not a valid URI.
            return client.newRequest(address.ip(), address.port()).path(pathAndQuery);
        }
    }

    private static void copyFields(HttpFields source, HttpFields.Mutable target, boolean resumes) {
        Set<String> hopByHop = HopByHopHeaders.of(source);
        for (HttpField field : source) {
            String name = field.getLowerCaseName();
            boolean setByProxy = SET_BY_PROXY.contains(name) || resumes && SET_BY_PROXY_ON_RESUME.contains(name);
            if (!setByProxy && !hopByHop.contains(name)) {
                target.add(field);
            }
        }
    }

    /** Replaces the client's credentials by the tenant's name: an engine never sees an API key. */
    private static void putTenant(AdmittedRequest admitted, HttpFields.Mutable fields) {
        if (!admitted.areTenantsConfigured()) {
            return;
        }
        fields.remove(HttpHeader.AUTHORIZATION);
        fields.remove(Headers.TENANT);
        admitted.tenant().ifPresent(tenant -> fields.put(Headers.TENANT, tenant.name()));
    }

    private static void putPosition(HttpFields.Mutable fields, StreamPosition position) {
        fields.put(Headers.LAST_EVENT_ID, Long.toString(position.lastId()));
        if (position.weightVersion() >= 0) {
            fields.put(Headers.EXPECTED_REVISION, Long.toString(position.weightVersion()));
        }
    }
}
