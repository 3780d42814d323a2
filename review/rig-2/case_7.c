/*
 * A key that was taken away goes on working, because an earlier version of the
 * configuration added a route whose prefix has a percent-encoded letter.
 *
 * Two machines. The operator adds a route, and some seconds later takes a key
 * away. With the disruption the prefix of the added route is "/sch%C3%A4rfen/",
 * without it "/schaerfen/".
 */
#include "rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define APPLY_MS 2000
#define CLIENTS 4
#define SLOTS 4
#define HOST "saege.example"
#define KEPT_KEY "2b9wu3fexd9dnn2ctnfz"
#define REVOKED_KEY "s989anu6wsjnbanfqasn"

static const char *added_prefix;
static bool stopped;
/* Times of acknowledgement, 0 before it; atomic. */
static int64_t route_added_ms;
static int64_t key_revoked_ms;

static int64_t load_ms(const int64_t *p)
{
	return __atomic_load_n(p, __ATOMIC_SEQ_CST);
}

static void add_route(struct rig_text *t, const char *name, const char *prefix)
{
	rig_text_printf(t,
			"{\"Name\":\"%s\",\"Host\":\"" HOST "\","
			"\"Prefix\":\"%s\",\"Kind\":\"unsafe\","
			"\"TimeoutMs\":2000,\"TargetLatencyMs\":800,"
			"\"Priority\":1,\"Service\":\"desk\","
			"\"MaxAttempts\":2,\"Public\":false}",
			name, prefix);
}

static void write_config(int version, bool added, bool revoked)
{
	struct rig_text t = { 0 };

	rig_text_printf(&t, "{\"Version\":\"r%d\",\"Routes\":[", version);
	add_route(&t, "r-book", "/book/");
	if (added) {
		rig_text_printf(&t, ",");
		add_route(&t, "r-added", added_prefix);
	}
	rig_text_printf(&t,
			"],\"Services\":[{\"Name\":\"desk\","
			"\"HealthPath\":\"/health\",\"MaxConnections\":390,"
			"\"Protocol\":\"h1\",\"Tls\":false}],"
			"\"Limits\":{\"HeaderBytes\":16384,"
			"\"BodyBytes\":67108864,\"HeaderTimeoutMs\":3000,"
			"\"IdleTimeoutMs\":15000},"
			"\"Tenants\":[{\"Name\":\"franchise\",\"ApiKeys\":["
			"\"" KEPT_KEY "\"%s],\"Priority\":1,\"RatePerS\":0,"
			"\"Burst\":0}]}",
			revoked ? "" : ",\"" REVOKED_KEY "\"");
	rig_store_put("op/config", t.data);
	rig_text_free(&t);
}

struct backend {
	const char *id;
};

static void serve(void *data, int fd)
{
	const struct backend *b = data;
	struct rig_stream *s = calloc(1, sizeof(*s));
	struct rig_message m;

	s->fd = fd;
	while (!rig_read_request(s, &m)) {
		const char *id = rig_header(&m, "X-Request-Id");
		bool here = !strcmp(rig_header(&m, "X-Target-Instance"), b->id);
		struct rig_text t = { 0 };

		rig_text_printf(&t,
				"HTTP/1.1 %s\r\nX-Request-Id: %s\r\n"
				"X-Server-Seal: %s.%s\r\n%s"
				"Content-Length: 6\r\n\r\nbooked",
				here ? "200 OK" : "421 Misdirected Request", id,
				b->id, id,
				here ? "" : "X-Not-Executed: 1\r\n");
		rig_sleep_ms(20);
		rig_send(fd, t.data, t.size);
		rig_text_free(&t);
		rig_message_free(&m);
	}
	close(fd);
	free(s);
}

static bool is_late(const int64_t *acked, int64_t sent_ms)
{
	int64_t acked_ms = load_ms(acked);

	return acked_ms && sent_ms > acked_ms + APPLY_MS;
}

static void book_once(const struct rig_node *n, const char *path,
		      const char *key)
{
	int64_t sent_ms = rig_ms();
	bool revoked = !strcmp(key, REVOKED_KEY);
	struct rig_result r;

	rig_call(n, "POST", HOST, path, key, "slot=7", 1800, &r);
	if (r.status == 200 && revoked && is_late(&key_revoked_ms, sent_ms))
		rig_broken("CONFIG: booking %s with the key that was taken away "
			   "was sent %lld ms after the acknowledgement and runs, "
			   "seal %s",
			   r.id, (long long)(sent_ms - key_revoked_ms), r.seal);
	if (r.status == 404 && !revoked && is_late(&route_added_ms, sent_ms))
		rig_broken("CONFIG: booking %s on the added route was sent "
			   "%lld ms after the acknowledgement and gets 404",
			   r.id, (long long)(sent_ms - route_added_ms));
	if (r.status == 401 && !revoked)
		rig_record("booking %s gets 401", r.id);
	rig_result_free(&r);
}

static void *book(void *data)
{
	const struct rig_node *n = data;
	char path[128];

	for (unsigned int i = 0; !__atomic_load_n(&stopped, __ATOMIC_SEQ_CST);
	     i++) {
		book_once(n, "/book/7", i % 2 ? KEPT_KEY : REVOKED_KEY);
		if (load_ms(&route_added_ms)) {
			snprintf(path, sizeof(path), "%s7", added_prefix);
			book_once(n, path, KEPT_KEY);
		}
		rig_sleep_ms(250);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static struct backend backends[2] = { { "i-one" }, { "i-two" } };
	struct rig_node *nodes[2];
	pthread_t clients[CLIENTS];

	rig_open(argc, argv);
	added_prefix = rig_trouble() ? "/sch%C3%A4rfen/" : "/schaerfen/";
	rig_store_start();
	write_config(7, false, false);
	for (int i = 0; i < 2; i++) {
		nodes[i] = rig_add_node("zone-a", "desk");
		rig_serve(nodes[i]->ip, rig_backend_port(), serve, &backends[i]);
		rig_register(backends[i].id, nodes[i], "ready", SLOTS,
			     1700000000000);
		rig_node_start(nodes[i]);
	}
	rig_wait_ready();
	rig_sleep_ms(4000);
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, book, nodes[i % 2]);
	rig_sleep_ms(2000);
	write_config(9, true, false);
	__atomic_store_n(&route_added_ms, rig_ms(), __ATOMIC_SEQ_CST);
	rig_sleep_ms(5000);
	write_config(12, true, true);
	__atomic_store_n(&key_revoked_ms, rig_ms(), __ATOMIC_SEQ_CST);
	rig_sleep_ms(APPLY_MS + 8000);
	__atomic_store_n(&stopped, true, __ATOMIC_SEQ_CST);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	return rig_close();
}
