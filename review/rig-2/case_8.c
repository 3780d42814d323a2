/*
 * A backend server that leaves keeps getting bookings, because its registration
 * has an earlier start than the one before.
 *
 * Three machines of one service. With the disruption, the backend server of the
 * third one goes down and up by turns and comes back under its Id, while the time
 * of day of its machine is set back by 2 s. Ten seconds after all of that is over
 * it reports that it is draining, serves a little longer than DrainMs, and exits.
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
#define STAY_MS 700
#define WORK_MS 270
#define CLIENTS 6
#define CLOCK_STEP_MS 2000
#define CLOCK_STEP_FOR_MS 6000
#define SLOTS 4

#define HOST "peach.example"
#define KEY "2b9wu3fexd9dnn2ctnfz"
#define ID "i-three"

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
	rig_broken("DRAIN: booking %s reaches %s %lld ms after its draining "
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

/* Goes down and up by turns. The clock of the machine is set back in between. */
static void flap(struct backend *b, const struct rig_node *n)
{
	rig_sleep_ms(1000);
	stop(b);
	rig_sleep_ms(500);
	start(b, n);
	rig_register(ID, n, "ready", SLOTS, wall_ms());
	rig_sleep_ms(700);
	rig_record("the time of day of %s is set back by %d ms", n->ip,
		   CLOCK_STEP_MS);
	stop(b);
	rig_sleep_ms(500);
	start(b, n);
}

int main(int argc, char **argv)
{
	static struct backend backends[3] = { { .id = "i-one" },
					      { .id = "i-two" },
					      { .id = ID } };
	struct backend *b = &backends[2];
	struct rig_node *nodes[3];
	pthread_t clients[CLIENTS];
	int64_t born_ms = wall_ms();

	rig_open(argc, argv);
	rig_store_start();
	rig_store_put("op/config", config);
	for (int i = 0; i < 3; i++) {
		nodes[i] = rig_add_node(i ? "zone-b" : "zone-a", "desk");
		start(&backends[i], nodes[i]);
		rig_register(backends[i].id, nodes[i], "ready", SLOTS, born_ms);
		rig_node_start(nodes[i]);
	}
	rig_wait_ready();
	rig_sleep_ms(2000);
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, book, nodes[i % 2]);
	rig_sleep_ms(1000);
	if (rig_trouble()) {
		flap(b, nodes[2]);
		born_ms = wall_ms() - CLOCK_STEP_MS;
		rig_register(ID, nodes[2], "ready", SLOTS, born_ms);
	}
	rig_sleep_ms(CLOCK_STEP_FOR_MS);
	if (rig_trouble())
		rig_record("the time of day of %s is right again",
			   nodes[2]->ip);
	/* All machines are in touch again after ContactMs, which is 3 s. */
	rig_sleep_ms(4000);
	rig_record("%s begins to leave", b->id);
	rig_register(ID, nodes[2], "draining", SLOTS, born_ms);
	__atomic_store_n(&b->drain_acked_ms, rig_ms(), __ATOMIC_SEQ_CST);
	rig_sleep_ms(DRAIN_MS + STAY_MS);
	stop(b);
	rig_store_remove("servers/" ID);
	rig_sleep_ms(3000);
	__atomic_store_n(&stopped, true, __ATOMIC_SEQ_CST);
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	return rig_close();
}
