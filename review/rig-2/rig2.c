#define _GNU_SOURCE
#include "rig2.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Longest time until all nodes are ready. */
#define READY_TIMEOUT_MS 15000
/* Limit on what a waiting watch may wait. */
#define WATCH_MAX_MS 30000
#define ITEMS_MAX 512
#define EVENTS_MAX 65536

/* Bounds that differ between the deployments. */
struct deployment {
	int ack_ms;
	int sync_s;
	int drain_ms;
	int apply_ms;
	int retry_slack;
};

static const struct deployment pss_mesh = { 4000, 4, 2000, 2000, 62 };
static const struct deployment pss_mesh_grown = { 5000, 6, 2500, 2500, 186 };

static struct {
	const struct deployment *deployment;
	int64_t opened_us;
	bool trouble;
	FILE *record;
	pthread_mutex_t lock;
	unsigned int broken;
	char *command;
	char folder[256];
	int net;
	int base_port;
	struct rig_node nodes[RIG_NODES_MAX];
	size_t nodes_nr;
} rig = { .deployment = &pss_mesh, .lock = PTHREAD_MUTEX_INITIALIZER };

/* Time and record. */

static int64_t now_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

int64_t rig_ms(void)
{
	return (now_us() - rig.opened_us) / 1000;
}

void rig_sleep_ms(int64_t ms)
{
	struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

	while (nanosleep(&t, &t) && errno == EINTR)
		;
}

void rig_use_grown(void)
{
	rig.deployment = &pss_mesh_grown;
}

bool rig_trouble(void)
{
	return rig.trouble;
}

static void record(const char *prefix, const char *format, va_list ap)
{
	pthread_mutex_lock(&rig.lock);
	fprintf(rig.record, "%9.3f %s", (double)rig_ms() / 1000, prefix);
	vfprintf(rig.record, format, ap);
	fputc('\n', rig.record);
	fflush(rig.record);
	pthread_mutex_unlock(&rig.lock);
}

void rig_record(const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	record("", format, ap);
	va_end(ap);
}

void rig_broken(const char *format, ...)
{
	va_list ap;

	__atomic_add_fetch(&rig.broken, 1, __ATOMIC_SEQ_CST);
	va_start(ap, format);
	record("BROKEN: ", format, ap);
	va_end(ap);
}

static void remove_file(const struct rig_node *n, const char *suffix)
{
	char path[512];

	snprintf(path, sizeof(path), "%s/%s.%s", rig.folder, n->ip, suffix);
	unlink(path);
}

static void end_processes(void)
{
	for (size_t i = 0; i < rig.nodes_nr; i++) {
		const struct rig_node *n = &rig.nodes[i];

		if (n->pid > 0) {
			kill(n->pid, SIGKILL);
			waitpid(n->pid, NULL, 0);
		}
		remove_file(n, "json");
		remove_file(n, "log");
	}
	rmdir(rig.folder);
}

void rig_cannot_run(const char *format, ...)
{
	va_list ap;

	va_start(ap, format);
	record("cannot run: ", format, ap);
	va_end(ap);
	end_processes();
	_exit(2);
}

int rig_close(void)
{
	end_processes();
	rig_record("%s: the rule was broken %u times",
		   rig.broken ? "BROKEN" : "HELD", rig.broken);
	printf("%s\n", rig.broken ? "broken" : "held");
	fflush(NULL);
	_exit(rig.broken ? 1 : 0);
}

static bool port_is_free(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;
	bool ok;

	inet_pton(AF_INET, ip, &a.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	ok = !bind(fd, (struct sockaddr *)&a, sizeof(a));
	close(fd);
	return ok;
}

static void choose_network(void)
{
	unsigned int seed = (unsigned int)getpid() ^ (unsigned int)now_us();

	for (int i = 0; i < 100; i++) {
		char ip[32];
		bool ok = true;

		rig.net = 16 + rand_r(&seed) % 200;
		rig.base_port = 20000 + rand_r(&seed) % 100 * 100;
		snprintf(ip, sizeof(ip), "127.%d.1.1", rig.net);
		for (int p = 0; p < 20; p++)
			ok = ok && port_is_free(ip, rig.base_port + p);
		if (ok)
			return;
	}
	rig_cannot_run("no free ports");
}

void rig_open(int argc, char **argv)
{
	const char *trouble = getenv("TROUBLE");
	const char *tmp = getenv("TMPDIR");
	char path[512];

	if (argc != 3) {
		fprintf(stderr, "usage: %s FOLDER NODE_COMMAND\n", argv[0]);
		exit(2);
	}
	signal(SIGPIPE, SIG_IGN);
	rig.opened_us = now_us();
	rig.trouble = !trouble || strcmp(trouble, "0") != 0;
	rig.command = argv[2];
	snprintf(path, sizeof(path), "%s/record.txt", argv[1]);
	rig.record = fopen(path, "w");
	snprintf(rig.folder, sizeof(rig.folder), "%s/review-2-XXXXXX",
		 tmp ? tmp : "/tmp");
	if (!rig.record || !mkdtemp(rig.folder)) {
		fprintf(stderr, "cannot write: %s\n", strerror(errno));
		exit(2);
	}
	choose_network();
	rig_record("disruption %s", rig.trouble ? "on" : "left out");
}

/* Text. */

void rig_text_add(struct rig_text *t, const void *data, size_t size)
{
	t->data = realloc(t->data, t->size + size + 1);
	memcpy(t->data + t->size, data, size);
	t->size += size;
	t->data[t->size] = '\0';
}

void rig_text_printf(struct rig_text *t, const char *format, ...)
{
	char *s;
	va_list ap;
	int n;

	va_start(ap, format);
	n = vasprintf(&s, format, ap);
	va_end(ap);
	if (n < 0)
		return;
	rig_text_add(t, s, (size_t)n);
	free(s);
}

void rig_text_free(struct rig_text *t)
{
	free(t->data);
	*t = (struct rig_text){ 0 };
}

/* HTTP. */

static int fill(struct rig_stream *s)
{
	ssize_t n;

	if (s->from == s->to)
		s->from = s->to = 0;
	do
		n = recv(s->fd, s->data + s->to, sizeof(s->data) - s->to, 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return n < 0 ? -2 : -1;
	s->to += (size_t)n;
	return 0;
}

static int read_head(struct rig_stream *s, struct rig_text *head)
{
	for (;;) {
		char c;

		if (s->from == s->to && fill(s))
			return -1;
		c = s->data[s->from++];
		rig_text_add(head, &c, 1);
		if (head->size >= 4 &&
		    !memcmp(head->data + head->size - 4, "\r\n\r\n", 4))
			return 0;
	}
}

static int read_bytes(struct rig_stream *s, struct rig_text *to, size_t size)
{
	while (size) {
		size_t n = s->to - s->from;

		if (!n) {
			if (fill(s))
				return -1;
			continue;
		}
		n = n < size ? n : size;
		rig_text_add(to, s->data + s->from, n);
		s->from += n;
		size -= n;
	}
	return 0;
}

static int read_line(struct rig_stream *s, struct rig_text *line)
{
	for (;;) {
		char c;

		if (s->from == s->to && fill(s))
			return -1;
		c = s->data[s->from++];
		if (c == '\n')
			return 0;
		rig_text_add(line, &c, 1);
	}
}

static int read_chunks(struct rig_stream *s, struct rig_text *body)
{
	for (;;) {
		struct rig_text line = { 0 }, end = { 0 };
		unsigned long n;
		int rc = read_line(s, &line);

		n = line.data ? strtoul(line.data, NULL, 16) : 0;
		rig_text_free(&line);
		rc = rc || read_bytes(s, body, n) || read_bytes(s, &end, 2);
		rig_text_free(&end);
		if (rc)
			return -1;
		if (!n)
			return 0;
	}
}

static void split_head(struct rig_message *m)
{
	char *save = NULL;
	char *line = strtok_r(m->head, "\r\n", &save);

	m->start = line ? line : m->head;
	while ((line = strtok_r(NULL, "\r\n", &save)) &&
	       m->headers_nr < RIG_HEADERS_MAX) {
		char *colon = strchr(line, ':');

		if (!colon)
			continue;
		*colon++ = '\0';
		colon += strspn(colon, " \t");
		m->names[m->headers_nr] = line;
		m->values[m->headers_nr++] = colon;
	}
}

const char *rig_header(const struct rig_message *m, const char *name)
{
	for (size_t i = 0; i < m->headers_nr; i++)
		if (!strcasecmp(m->names[i], name))
			return m->values[i];
	return "";
}

const char *rig_word(const struct rig_message *m, char *buffer, size_t size)
{
	const char *p = m->start + strcspn(m->start, " ");

	p += strspn(p, " ");
	snprintf(buffer, size, "%.*s", (int)strcspn(p, " "), p);
	return buffer;
}

void rig_message_free(struct rig_message *m)
{
	free(m->head);
	rig_text_free(&m->body);
	*m = (struct rig_message){ 0 };
}

static int read_message(struct rig_stream *s, struct rig_message *m,
			bool answer)
{
	struct rig_text head = { 0 };
	const char *length;

	*m = (struct rig_message){ 0 };
	if (read_head(s, &head)) {
		rig_text_free(&head);
		return -1;
	}
	m->head = head.data;
	split_head(m);
	length = rig_header(m, "Content-Length");
	if (!strcasecmp(rig_header(m, "Transfer-Encoding"), "chunked")) {
		m->whole = !read_chunks(s, &m->body);
	} else if (*length) {
		m->whole = !read_bytes(s, &m->body, strtoul(length, NULL, 10));
	} else if (answer) {
		int rc;

		while (!read_bytes(s, &m->body, s->to - s->from) &&
		       !(rc = fill(s)))
			;
		m->whole = rc == -1;
	} else {
		m->whole = true;
	}
	return 0;
}

int rig_read_request(struct rig_stream *s, struct rig_message *m)
{
	if (read_message(s, m, false))
		return -1;
	if (m->whole)
		return 0;
	rig_message_free(m);
	return -1;
}

int rig_read_answer(struct rig_stream *s, struct rig_message *m)
{
	return read_message(s, m, true);
}

bool rig_send(int fd, const void *data, size_t size)
{
	const char *p = data;

	while (size) {
		ssize_t n = send(fd, p, size, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		size -= (size_t)n;
	}
	return true;
}

void rig_reset(int fd)
{
	struct linger l = { 1, 0 };

	setsockopt(fd, SOL_SOCKET, SO_LINGER, &l, sizeof(l));
	close(fd);
}

/* Servers. */

struct listener {
	int fd;
	void (*serve)(void *data, int fd);
	void *data;
};

struct connection {
	struct listener *listener;
	int fd;
};

static void start_thread(void *(*run)(void *), void *data)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&thread, &attr, run, data))
		rig_cannot_run("cannot start a thread");
	pthread_attr_destroy(&attr);
}

static void *serve_connection(void *data)
{
	struct connection *c = data;

	c->listener->serve(c->listener->data, c->fd);
	free(c);
	return NULL;
}

static void *accept_connections(void *data)
{
	struct listener *l = data;

	for (;;) {
		struct connection *c;
		int on = 1, fd = accept(l->fd, NULL, NULL);

		if (fd < 0 && errno == EINTR)
			continue;
		if (fd < 0)
			return NULL;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		c = malloc(sizeof(*c));
		*c = (struct connection){ l, fd };
		start_thread(serve_connection, c);
	}
}

static struct sockaddr_in address_of(const char *ip, int port)
{
	struct sockaddr_in a = { .sin_family = AF_INET,
				 .sin_port = htons((uint16_t)port) };

	inet_pton(AF_INET, ip, &a.sin_addr);
	return a;
}

int rig_serve(const char *ip, int port, void (*serve)(void *data, int fd),
	      void *data)
{
	struct sockaddr_in a = address_of(ip, port);
	struct listener *l = malloc(sizeof(*l));
	int on = 1;

	l->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	l->serve = serve;
	l->data = data;
	setsockopt(l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(l->fd, (struct sockaddr *)&a, sizeof(a)) ||
	    listen(l->fd, 256))
		rig_cannot_run("cannot listen on %s:%d", ip, port);
	start_thread(accept_connections, l);
	return l->fd;
}

/* The platform's store. */

struct item {
	char key[200];
	char *value;
	long revision;
	long created;
};

static struct {
	pthread_mutex_t lock;
	pthread_cond_t changed;
	struct item items[ITEMS_MAX];
	size_t items_nr;
	char *events[EVENTS_MAX];
	long revision;
	unsigned int cuts;
	char ip[32];
} store = { .lock = PTHREAD_MUTEX_INITIALIZER, .revision = 100 };

static char *base64(const char *s)
{
	static const char set[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				  "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t n = strlen(s);
	char *out = calloc(1, n / 3 * 4 + 8), *p = out;

	for (size_t i = 0; i < n; i += 3) {
		unsigned int b = (unsigned int)(unsigned char)s[i] << 16;

		if (i + 1 < n)
			b |= (unsigned int)(unsigned char)s[i + 1] << 8;
		if (i + 2 < n)
			b |= (unsigned char)s[i + 2];
		*p++ = set[b >> 18];
		*p++ = set[b >> 12 & 63];
		*p++ = i + 1 < n ? set[b >> 6 & 63] : '=';
		*p++ = i + 2 < n ? set[b & 63] : '=';
	}
	return out;
}

static char *item_json(const struct item *i)
{
	char *value = base64(i->value), *s;

	if (asprintf(&s,
		     "{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%ld,"
		     "\"Created\":%ld,\"LeaseId\":0}",
		     i->key, value, i->revision, i->created) < 0)
		abort();
	free(value);
	return s;
}

static struct item *find_item(const char *key)
{
	for (size_t i = 0; i < store.items_nr; i++)
		if (!strcmp(store.items[i].key, key))
			return &store.items[i];
	return NULL;
}

void rig_store_put(const char *key, const char *value)
{
	struct item *i;

	pthread_mutex_lock(&store.lock);
	i = find_item(key);
	store.revision++;
	if (!i) {
		i = &store.items[store.items_nr++];
		snprintf(i->key, sizeof(i->key), "%s", key);
		i->created = store.revision;
	}
	free(i->value);
	i->value = strdup(value);
	i->revision = store.revision;
	store.events[store.revision % EVENTS_MAX] = item_json(i);
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	rig_record("store acknowledges %s = %s", key, value);
}

void rig_store_remove(const char *key)
{
	struct item *i;
	char *s;

	pthread_mutex_lock(&store.lock);
	i = find_item(key);
	if (i) {
		free(i->value);
		*i = store.items[--store.items_nr];
		store.items[store.items_nr].value = NULL;
		store.revision++;
		if (asprintf(&s,
			     "{\"Key\":\"%s\",\"Revision\":%ld,"
			     "\"Deleted\":true}",
			     key, store.revision) < 0)
			abort();
		store.events[store.revision % EVENTS_MAX] = s;
		pthread_cond_broadcast(&store.changed);
	}
	pthread_mutex_unlock(&store.lock);
	rig_record("store acknowledges the removal of %s", key);
}

static long parameter(const char *path, const char *name)
{
	const char *p = strstr(path, name);

	return p ? strtol(p + strlen(name), NULL, 10) : 0;
}

static void list_items(struct rig_text *body)
{
	pthread_mutex_lock(&store.lock);
	rig_text_printf(body, "{\"items\":[");
	for (size_t i = 0; i < store.items_nr; i++) {
		char *s = item_json(&store.items[i]);

		rig_text_printf(body, "%s%s", i ? "," : "", s);
		free(s);
	}
	rig_text_printf(body, "],\"HasMore\":false,\"At\":%ld}",
			store.revision);
	pthread_mutex_unlock(&store.lock);
}

/* Return: false if the watch was cut while it waited. */
static bool watch_items(struct rig_text *body, long after, long wait_ms)
{
	struct timespec until;
	unsigned int cuts;

	wait_ms = wait_ms > WATCH_MAX_MS ? WATCH_MAX_MS : wait_ms;
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += wait_ms / 1000;
	until.tv_nsec += wait_ms % 1000 * 1000000;
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&store.lock);
	cuts = store.cuts;
	while (store.revision <= after && store.cuts == cuts &&
	       !pthread_cond_timedwait(&store.changed, &store.lock, &until))
		;
	if (store.cuts != cuts) {
		pthread_mutex_unlock(&store.lock);
		return false;
	}
	rig_text_printf(body, "{\"events\":[");
	for (long r = after + 1; r <= store.revision; r++)
		rig_text_printf(body, "%s%s", r > after + 1 ? "," : "",
				store.events[r % EVENTS_MAX]);
	rig_text_printf(body, "],\"At\":%ld}", store.revision);
	pthread_mutex_unlock(&store.lock);
	return true;
}

void rig_store_cut_watches(void)
{
	pthread_mutex_lock(&store.lock);
	store.cuts++;
	pthread_cond_broadcast(&store.changed);
	pthread_mutex_unlock(&store.lock);
	rig_record("store cuts the watches that wait");
}

static void serve_store(void *data, int fd)
{
	struct rig_stream *s = calloc(1, sizeof(*s));
	struct rig_message m;

	(void)data;
	s->fd = fd;
	while (!rig_read_request(s, &m)) {
		struct rig_text body = { 0 }, head = { 0 };
		bool cut = false;
		char path[512];

		rig_word(&m, path, sizeof(path));
		if (!strncmp(path, "/v1/kv-watch", 12))
			cut = !watch_items(&body, parameter(path, "after="),
					   parameter(path, "WaitMs="));
		else
			list_items(&body);
		if (cut) {
			rig_message_free(&m);
			break;
		}
		rig_text_printf(&head,
				"HTTP/1.1 200 OK\r\n"
				"Content-Type: application/json\r\n"
				"Content-Length: %zu\r\n\r\n",
				body.size);
		rig_text_add(&head, body.data, body.size);
		rig_message_free(&m);
		rig_text_free(&body);
		if (!rig_send(fd, head.data, head.size)) {
			rig_text_free(&head);
			break;
		}
		rig_text_free(&head);
	}
	close(fd);
	free(s);
}

static int store_port(void)
{
	return rig.base_port + 8;
}

void rig_store_start(void)
{
	pthread_condattr_t attr;

	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&store.changed, &attr);
	snprintf(store.ip, sizeof(store.ip), "127.%d.1.1", rig.net);
	rig_serve(store.ip, store_port(), serve_store, NULL);
}

/* Machines. */

int rig_backend_port(void)
{
	return rig.base_port + 3;
}

int rig_outbound_port(void)
{
	return rig.base_port + 2;
}

static int ready_port(void)
{
	return rig.base_port + 6;
}

struct rig_node *rig_add_node(const char *zone, const char *service)
{
	struct rig_node *n = &rig.nodes[rig.nodes_nr];

	snprintf(n->ip, sizeof(n->ip), "127.%d.2.%zu", rig.net,
		 ++rig.nodes_nr);
	snprintf(n->zone, sizeof(n->zone), "%s", zone);
	snprintf(n->service, sizeof(n->service), "%s", service);
	return n;
}

static void write_settings(const struct rig_node *n, const char *path)
{
	const struct deployment *d = rig.deployment;
	FILE *f = fopen(path, "w");
	int b = rig.base_port;

	if (!f)
		rig_cannot_run("cannot write %s", path);
	fprintf(f,
		"{\"Self\": {\"NodeName\": \"side-%s\", \"Role\": \"node\","
		" \"MachineClass\": \"sidecar\", \"Serves\": [\"sidecar\"],"
		" \"Ip\": \"%s\", \"Zone\": \"%s\", \"Region\": \"region\","
		" \"InLossBudget\": false, \"Bootstrap\": true,"
		" \"DataDir\": null, \"Limits\": {\"CpuShare\": 0.2,"
		" \"Cores\": 1, \"MemoryMb\": 260, \"MaxFds\": 4100,"
		" \"LinkMbps\": 1000.0, \"DiskMb\": 0},"
		" \"AppAddr\": \"%s:%d\", \"Service\": \"%s\"},\n"
		"\"Network\": {\"ListenAddrs\": {\"Inbound\": \"%s:%d\","
		" \"Outbound\": \"%s:%d\", \"Ready\": \"%s:%d\"},"
		" \"PortRange\": [%d, %d], \"Seeds\": [],"
		" \"Zones\": {\"zone-a\": \"region\", \"zone-b\": \"region\"}},\n"
		"\"Platform\": {\"Discovery\": \"platform\","
		" \"EntryMode\": \"local\", \"HeartbeatMs\": 1500,"
		" \"Platform\": {\"Addr\": \"%s:%d\", \"form\": \"read\","
		" \"WritesPerS\": 400, \"ReadsPerS\": 2000, \"HistoryS\": 20,"
		" \"ValueBytes\": 1048576, \"TtlMinMs\": 1000}},\n",
		n->ip, n->ip, n->zone, n->ip, b + 3, n->service, n->ip, b + 1,
		n->ip, b + 2, n->ip, b + 6, b + 10, b + 19, store.ip,
		store_port());
	fprintf(f, "\"Terms\": {\"Contracts\": [\"base\", \"drain\", \"config\","
		   " \"cost\", \"retry\", \"recover\", \"health\", \"tenants\","
		   " \"quota\", \"platform\"], \"FaultTolerance\":"
		   " {\"NodeFailures\": 2, \"Zones\": 0, \"Regions\": 0},"
		   " \"Bounds\": {\"SeedLagS\": 3, \"AddrReuseS\": 2,"
		   " \"ContactMs\": 3000, \"AckMs\": %d, \"SyncS\": %d,"
		   " \"DrainMs\": %d, \"GraceS\": 6, \"LossSlackMs\": 200,"
		   " \"ApplyMs\": %d, \"DowngradeSlackMs\": 250,"
		   " \"SkewMaxMs\": 5000, \"StrictRevoke\": false,"
		   " \"RevokeMs\": 5000, \"BudgetRatio\": 0.2,"
		   " \"BudgetWindowS\": 10, \"RetrySlack\": %d,"
		   " \"QuotaWindowS\": 5, \"QuotaOvershoot\": 0.25,"
		   " \"QuotaSlack\": 20, \"RecoveryS\": 15, \"ProbesPerS\": 3,"
		   " \"FloorShare\": 0.7}}}\n",
		d->ack_ms, d->sync_s, d->drain_ms, d->apply_ms,
		d->retry_slack);
	fclose(f);
}

/* Words of the command of the deploy file, split at spaces. */
static void exec_command(char *command)
{
	char *words[16] = { 0 }, *save = NULL;
	size_t nr = 0;

	for (char *w = strtok_r(command, " ", &save); w && nr < 15;
	     w = strtok_r(NULL, " ", &save))
		words[nr++] = w;
	execv(words[0], words);
	_exit(127);
}

void rig_node_start(struct rig_node *n)
{
	char settings[512], log[512];
	char *command = strdup(rig.command);
	const char *path = getenv("PATH");
	char *home = strdup(rig.folder);
	int out;

	snprintf(settings, sizeof(settings), "%s/%s.json", rig.folder, n->ip);
	snprintf(log, sizeof(log), "%s/%s.log", rig.folder, n->ip);
	write_settings(n, settings);
	n->pid = fork();
	/* The process ends with the case, also if that is killed. */
	if (!n->pid)
		prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (n->pid) {
		free(command);
		free(home);
		if (n->pid < 0)
			rig_cannot_run("cannot start a process");
		rig_record("node %s started, process %d", n->ip, (int)n->pid);
		return;
	}
	out = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
	dup2(out, 1);
	dup2(out, 2);
	path = path ? strdup(path) : "/usr/bin:/bin";
	clearenv();
	setenv("PATH", path, 1);
	setenv("HOME", home, 1);
	setenv("BAOBABWARD_NODE_FILE", settings, 1);
	exec_command(command);
}

static int connect_to(const char *ip, int port, int timeout_ms)
{
	struct sockaddr_in a = address_of(ip, port);
	struct timeval t = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &t, sizeof(t));
	setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &t, sizeof(t));
	if (connect(fd, (struct sockaddr *)&a, sizeof(a))) {
		close(fd);
		return -1;
	}
	return fd;
}

static int exchange(int fd, const struct rig_text *request,
		    struct rig_message *answer)
{
	struct rig_stream *s = calloc(1, sizeof(*s));
	int rc;

	s->fd = fd;
	rc = rig_send(fd, request->data, request->size) ?
		     rig_read_answer(s, answer) :
		     -1;
	free(s);
	return rc;
}

static bool is_ready(const struct rig_node *n)
{
	struct rig_text request = { 0 };
	struct rig_message m = { 0 };
	char word[16];
	int fd = connect_to(n->ip, ready_port(), 1000);
	bool ok;

	if (fd < 0)
		return false;
	rig_text_printf(&request,
			"GET /v1/ready HTTP/1.1\r\nHost: %s\r\n\r\n", n->ip);
	ok = !exchange(fd, &request, &m) &&
	     !strcmp(rig_word(&m, word, sizeof(word)), "200");
	rig_message_free(&m);
	rig_text_free(&request);
	close(fd);
	return ok;
}

void rig_wait_ready(void)
{
	int64_t until_ms = rig_ms() + READY_TIMEOUT_MS;

	for (size_t i = 0; i < rig.nodes_nr; i++) {
		while (rig.nodes[i].pid && !is_ready(&rig.nodes[i])) {
			if (rig_ms() > until_ms)
				rig_cannot_run("node %s is not ready",
					       rig.nodes[i].ip);
			rig_sleep_ms(50);
		}
	}
	rig_record("all nodes are ready");
}

void rig_register(const char *id, const struct rig_node *n, const char *state,
		  int slots, int64_t born_ms)
{
	static int sequence;
	char key[64], value[512];

	snprintf(key, sizeof(key), "servers/%s", id);
	snprintf(value, sizeof(value),
		 "{\"Service\":\"%s\",\"Addr\":\"%s:%d\",\"Zone\":\"%s\","
		 "\"Version\":\"v1\",\"Slots\":%d,\"State\":\"%s\","
		 "\"WarmupLeftMs\":0,\"Sequence\":%d,\"born\":%lld}",
		 n->service, n->ip, rig_backend_port(), n->zone, slots, state,
		 __atomic_add_fetch(&sequence, 1, __ATOMIC_SEQ_CST),
		 (long long)born_ms);
	rig_store_put(key, value);
}

/* Clients. */

static void new_id(char *id, size_t size)
{
	static uint64_t last;
	uint64_t n = __atomic_add_fetch(&last, 1, __ATOMIC_SEQ_CST);

	snprintf(id, size, "%08x%08x", (unsigned int)getpid(),
		 (unsigned int)n);
}

void rig_call(const struct rig_node *n, const char *method, const char *host,
	      const char *path, const char *key, const char *body,
	      int deadline_ms, struct rig_result *r)
{
	struct rig_text request = { 0 };
	int64_t began_ms = rig_ms();
	char word[16];
	int fd;

	*r = (struct rig_result){ 0 };
	new_id(r->id, sizeof(r->id));
	rig_text_printf(&request,
			"%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\n"
			"X-Deadline-Ms: %d\r\n",
			method, path, host, r->id, deadline_ms);
	if (key)
		rig_text_printf(&request, "X-Key: %s\r\n", key);
	if (body)
		rig_text_printf(&request, "Content-Length: %zu\r\n",
				strlen(body));
	rig_text_printf(&request, "\r\n%s", body ? body : "");
	fd = connect_to(n->ip, rig_outbound_port(), deadline_ms + 1000);
	if (fd >= 0 && !exchange(fd, &request, &r->message)) {
		r->status = atoi(rig_word(&r->message, word, sizeof(word)));
		snprintf(r->seal, sizeof(r->seal), "%s",
			 rig_header(&r->message, "X-Server-Seal"));
	}
	if (fd >= 0)
		close(fd);
	r->took_ms = rig_ms() - began_ms;
	rig_text_free(&request);
}

void rig_result_free(struct rig_result *r)
{
	rig_message_free(&r->message);
}
