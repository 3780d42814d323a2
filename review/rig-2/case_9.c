/*
 * A backend server whose entry is removed keeps getting bookings for longer than
 * DrainMs if the watches of the store were cut just before.
 *
 * Two machines of one service. With the disruption, the store cuts the watches
 * that wait, and those that take their place, shortly before it acknowledges that
 * the entry of a backend server is gone. The backend server serves for DrainMs
 * and a little longer.
 */
#include "rig2.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define DRAIN_MS 2000
/* How much longer than DrainMs the backend server serves. */
#define STAY_MS 250
#define WORK_MS 100
#define CLIENTS 12
#define SLOTS 4

#define HOST "peach.example"
#define KEY "2b9wu3fexd9dnn2ctnfz"
#define ROUNDS 6
/* Time between the two cuts, in which the watch is sent again. */
#define CUT_AGAIN_MS 100
/* Time from the second cut to the removal of the entry. */
#define REMOVE_AFTER_MS 20

static const char config[] =
	"{\"Version\":\"r7\",\"Routes\":[{\"Name\":\"r-book\","
	"\"Host\":\"" HOST "\",\"Prefix\":\"/book/\",\"Kind\":\"unsafe\","
	"\"TimeoutMs\":2000,\"TargetLatencyMs\":800,\"Priority\":1,"
	"\"Service\":\"desk\",\"MaxAttempts\":2,\"Public\":false}],"
	"\"Services\":[{\"Name\":\"desk\",\"HealthPath\":\"/health\","
	"\"MaxConnections\":390,\"Protocol\":\"h1\",\"Tls\":false}],"
	"\"Limits\":{\"HeaderBytes\":16384,\"BodyBytes\":67108864,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
	"\"Tenants\":[{\"Name\":\"franchise\",\"ApiKeys\":[\"" KEY "\"],"
	"\"Priority\":1,\"RatePerS\":0,\"Burst\":0}]}";

/* State of a backend server; @up and @drain_acked_ms are atomic. */
struct backend {
	const char *id;
	bool up;
	int listener;
	int64_t drain_acked_ms;
	unsigned int late;
};

static bool stopped;

static bool is_up(const struct backend *b)
{
	return __atomic_load_n(&b->up, __ATOMIC_SEQ_CST);
}

static void answer(int fd, const struct backend *b,
		   const struct rig_message *m, const char *status,
		   const char *headers)
{
	const char *id = rig_header(m, "X-Request-Id");
	struct rig_text t = { 0 };

	rig_text_printf(&t,
			"HTTP/1.1 %s\r\nX-Request-Id: %s\r\n"
			"X-Server-Seal: %s.%s\r\n%sContent-Length: 6\r\n\r\n"
			"booked",
			status, id, b->id, id, headers);
	rig_send(fd, t.data, t.size);
	rig_text_free(&t);
}

static void note_arrival(struct backend *b, const struct rig_message *m)
{
	int64_t acked_ms = __atomic_load_n(&b->drain_acked_ms, __ATOMIC_SEQ_CST);
	int64_t after_ms = rig_ms() - acked_ms;

	if (!acked_ms || after_ms <= DRAIN_MS)
		return;
	__atomic_add_fetch(&b->late, 1, __ATOMIC_SEQ_CST);
	rig_broken("DRAIN: booking %s reaches %s %lld ms after its removal "
		   "was acknowledged",
		   rig_header(m, "X-Request-Id"), b->id, (long long)after_ms);
}

static void serve(void *data, int fd)
{
	struct backend *b = data;
	struct rig_stream *s = calloc(1, sizeof(*s));
	struct rig_message m;

	s->fd = fd;
	while (is_up(b) && !rig_read_request(s, &m)) {
		if (!is_up(b)) {
			rig_message_free(&m);
			break;
		}
		if (strcmp(rig_header(&m, "X-Target-Instance"), b->id) != 0) {
			answer(fd, b, &m, "421 Misdirected Request",
			       "X-Not-Executed: 1\r\n");
			rig_message_free(&m);
			continue;
		}
		note_arrival(b, &m);
		rig_sleep_ms(WORK_MS);
		if (is_up(b))
			answer(fd, b, &m, "200 OK", "X-Server-Load: 1,0,4\r\n");
		else
			rig_record("%s ended with %s in progress", b->id,
				   rig_header(&m, "X-Request-Id"));
		rig_message_free(&m);
	}
	if (is_up(b))
		close(fd);
	else
		rig_reset(fd);
	free(s);
}

static void start(struct backend *b, const struct rig_node *n)
{
	__atomic_store_n(&b->up, true, __ATOMIC_SEQ_CST);
	b->listener = rig_serve(n->ip, rig_backend_port(), serve, b);
}

static void stop(struct backend *b)
{
	__atomic_store_n(&b->up, false, __ATOMIC_SEQ_CST);
	shutdown(b->listener, SHUT_RDWR);
	close(b->listener);
	rig_record("%s is down", b->id);
}

static int64_t wall_ms(void)
{
	struct timespec t;

	clock_gettime(CLOCK_REALTIME, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void *book(void *data)
{
	const struct rig_node *n = data;
	unsigned int answers = 0;
	struct rig_result r;
	char path[64];

	while (!__atomic_load_n(&stopped, __ATOMIC_SEQ_CST)) {
		snprintf(path, sizeof(path), "/book/%u", answers++);
		rig_call(n, "POST", HOST, path, KEY, "slot=7", 2000, &r);
		if (r.status != 200)
			rig_record("booking %s: status %d after %lld ms", r.id,
				   r.status, (long long)r.took_ms);
		rig_result_free(&r);
		rig_sleep_ms(50);
	}
	return NULL;
}

static void add(struct backend *b, const struct rig_node *n, int number)
{
	static char ids[2 + ROUNDS][16];

	snprintf(ids[number], sizeof(ids[number]), "i-%d", number + 1);
	b->id = ids[number];
	start(b, n);
	rig_register(b->id, n, "ready", SLOTS, wall_ms());
}

int main(int argc, char **argv)
{
	static struct backend backends[2 + ROUNDS];
	struct backend *at[2];
	struct rig_node *nodes[2];
	pthread_t clients[CLIENTS];
	char key[64];

	rig_open(argc, argv);
	rig_store_start();
	rig_store_put("op/config", config);
	for (int i = 0; i < 2; i++) {
		nodes[i] = rig_add_node("zone-a", "desk");
		at[i] = &backends[i];
		add(at[i], nodes[i], i);
		rig_node_start(nodes[i]);
	}
	rig_wait_ready();
	rig_sleep_ms(4000);
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, book, nodes[i % 2]);
	for (int i = 0; i < ROUNDS; i++) {
		struct backend *b = at[i % 2];

		rig_sleep_ms(5000);
		if (rig_trouble())
			rig_store_cut_watches();
		rig_sleep_ms(CUT_AGAIN_MS);
		if (rig_trouble())
			rig_store_cut_watches();
		rig_sleep_ms(REMOVE_AFTER_MS);
		snprintf(key, sizeof(key), "servers/%s", b->id);
		rig_store_remove(key);
		__atomic_store_n(&b->drain_acked_ms, rig_ms(), __ATOMIC_SEQ_CST);
		rig_sleep_ms(DRAIN_MS + STAY_MS);
		stop(b);
		rig_sleep_ms(1000);
		at[i % 2] = &backends[2 + i];
		add(at[i % 2], nodes[i % 2], 2 + i);
	}
	__atomic_store_n(&stopped, true, __ATOMIC_SEQ_CST);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	return rig_close();
}
