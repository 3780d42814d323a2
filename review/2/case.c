/*
 * A faulty backend server sends second answers for some seconds. Some time after
 * it has stopped doing so, a node is restarted several times.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "../rig.h"

#define NODES 2
#define CLIENTS_PER_NODE 60
/* Between two requests of a client. */
#define THINK_MS 1000
/* Of 1,000 answers. */
#define EXTRA_PERMILLE 30
#define GARBLE_MS 5000
#define CONTACT_MS 3000
#define GRACE_MS 6000
#define WORK_MS 300
#define ROUNDS 8

static struct rig_node *nodes[NODES];
static struct rig_backend *backends[NODES];
static volatile bool stopping;
static int counts[600];

/* When the backend server began to work on each of the last requests. */
#define REQUESTS 65536
static volatile int64_t work_began_ms[REQUESTS];

static unsigned int number_of(const char *id)
{
	unsigned int n = 0;

	/* The last eight digits count the requests. */
	sscanf(id + strlen(id) - 8, "%x", &n);
	return n % REQUESTS;
}

static void note_run(struct rig_backend *b, const char *id, const char *head)
{
	(void)b;
	(void)head;
	work_began_ms[number_of(id)] = rig_ms();
}

/* When the nodes got SIGTERM, INT64_MAX while they run. */
static volatile int64_t term_ms[NODES];
static int given_up;

static void check(int node, const struct rig_request *r,
		  const struct rig_answer *a, int64_t sent_ms)
{
	int64_t began_ms = work_began_ms[number_of(r->id)];
	int64_t now_ms = rig_ms();

	__atomic_add_fetch(&counts[a->status], 1, __ATOMIC_RELAXED);
	if (a->status == 200 || a->sealed || !began_ms)
		return;
	/* Around a SIGTERM of the machine that took the request: the backend
	 * server is still at work and would answer in time. */
	if (now_ms < term_ms[node] ||
	    now_ms > term_ms[node] + GRACE_MS + 1000 ||
	    now_ms >= began_ms + WORK_MS - 50 ||
	    now_ms >= sent_ms + r->deadline_ms - 500)
		return;
	rig_record("request %s at node %s, sent %lld ms after SIGTERM: status "
		   "%d from the node, while its backend server had worked on "
		   "it for %lld of %d ms",
		   r->id, nodes[node]->ip, (long long)(sent_ms - term_ms[node]),
		   a->status, (long long)(now_ms - began_ms), WORK_MS);
	__atomic_add_fetch(&given_up, 1, __ATOMIC_RELAXED);
}

/* Lookups one after the other on a connection that is kept. */
static void *run_client(void *data)
{
	int node = (int)(intptr_t)data % NODES;
	int fd = -1;

	rig_sleep_ms(random() % THINK_MS);
	while (!stopping) {
		struct rig_request r = { .method = "GET",
					 .host = "shop.example",
					 .path = "/items/1",
					 .deadline_ms = 4000,
					 .body = "" };
		struct rig_answer a;
		int64_t sent_ms;

		if (fd < 0)
			fd = rig_connect(nodes[node]->ip, nodes[node]->outbound,
					 1000);
		if (fd < 0) {
			rig_sleep_ms(50);
			continue;
		}
		rig_new_id(r.id);
		work_began_ms[number_of(r.id)] = 0;
		sent_ms = rig_ms();
		rig_exchange(fd, &r, &a);
		check(node, &r, &a, sent_ms);
		if (!a.keep) {
			close(fd);
			fd = -1;
		}
		rig_sleep_ms(THINK_MS);
	}
	return NULL;
}

static void restart(int i)
{
	int64_t began_ms = rig_ms();

	rig_node_signal(nodes[i], SIGTERM);
	term_ms[i] = began_ms;
	while (waitpid(nodes[i]->pid, NULL, WNOHANG) != nodes[i]->pid) {
		if (rig_ms() > began_ms + GRACE_MS)
			rig_node_signal(nodes[i], SIGKILL);
		rig_sleep_ms(10);
	}
	rig_record("node %s ended after %lld ms", nodes[i]->ip,
		   (long long)(rig_ms() - began_ms));
	rig_sleep_ms(300);
	term_ms[i] = INT64_MAX;
	rig_node_start(nodes[i]);
	if (!rig_node_wait_ready(nodes[i], 15000))
		rig_fail("node %s is not ready", nodes[i]->ip);
}

int main(void)
{
	struct rig_listener *store;

	rig_begin();
	store = rig_store_listen(rig_ip(100));
	rig_config(1,
		   "{\"Name\":\"items\",\"Host\":\"shop.example\",\"Prefix\":"
		   "\"/items/\",\"Kind\":\"safe\",\"TimeoutMs\":4000,"
		   "\"TargetLatencyMs\":1200,\"Priority\":1,\"Service\":"
		   "\"desk\",\"MaxAttempts\":1,\"Public\":true}",
		   "{\"Name\":\"desk\",\"HealthPath\":\"/health\","
		   "\"MaxConnections\":390,\"Protocol\":\"h1\",\"Tls\":false}",
		   NULL);
	for (int i = 0; i < NODES; i++) {
		char id[32];

		snprintf(id, sizeof(id), "i-%d", i + 1);
		backends[i] =
			rig_backend_start(rig_ip(i + 1), id, "desk", WORK_MS);
		backends[i]->on_run = note_run;
		rig_backend_register(backends[i], "ready");
		nodes[i] = rig_node_new(backends[i]->ip, "desk", backends[i],
					store, 0);
		term_ms[i] = INT64_MAX;
		rig_node_start(nodes[i]);
	}
	for (int i = 0; i < NODES; i++)
		if (!rig_node_wait_ready(nodes[i], 15000))
			rig_fail("node %s is not ready", nodes[i]->ip);
	for (int i = 0; i < NODES * CLIENTS_PER_NODE; i++)
		rig_thread(run_client, (void *)(intptr_t)i);
	rig_sleep_ms(2000);
	if (rig_trouble()) {
		rig_record("%s sends a second answer after %d of 1,000 "
			   "answers",
			   backends[0]->id, EXTRA_PERMILLE);
		backends[0]->extra_permille = EXTRA_PERMILLE;
	}
	rig_sleep_ms(GARBLE_MS);
	backends[0]->extra_permille = 0;
	rig_record("%s is sound again, after %d second answers",
		   backends[0]->id, backends[0]->extras);
	rig_sleep_ms(2 * CONTACT_MS);
	/* Not the node beside it, whose connections would be new ones. */
	for (int round = 0; round < ROUNDS; round++) {
		restart(1);
		rig_sleep_ms(CONTACT_MS);
	}
	stopping = true;
	rig_sleep_ms(4500);
	for (int i = 0; i < NODES; i++)
		rig_record("%s ran %d requests", backends[i]->id,
			   backends[i]->runs);
	for (int i = 0; i < 600; i++)
		if (counts[i])
			rig_record("%d answers with status %d", counts[i], i);
	rig_record("%d requests were given up around a SIGTERM although their "
		   "backend server was at work",
		   given_up);
	rig_end(given_up ? RIG_BROKEN : RIG_HELD);
}
