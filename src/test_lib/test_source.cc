#include <gtest/gtest.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <poll.h>
#include <cstring>
#include <functional>
#include <vector>

#include "baobabward/clock.h"
#include "baobabward/publish.h"
#include "baobabward/source.h"
#include "config_fixture.h"
#include "libstandin/config_service.h"

// Time after which a test that waits for a condition fails.
static const int64_t WAIT_US = 60 * BB_US_PER_S;

// A temporary directory.
struct Directory {
	std::string path;

	Directory()
	{
		char *p = g_dir_make_tmp("test_source_XXXXXX", nullptr);

		path = p;
		g_free(p);
	}
	~Directory()
	{
		GDir *d = g_dir_open(path.c_str(), 0, nullptr);

		while (const char *name = g_dir_read_name(d))
			g_unlink((path + "/" + name).c_str());
		g_dir_close(d);
		g_rmdir(path.c_str());
	}
};

class Source : public testing::Test
{
      protected:
	uint8_t public_key[BB_SIGNING_PUBLIC_KEY_SIZE];
	uint8_t secret[BB_SIGNING_SECRET_KEY_SIZE];
	struct bb_error err = {};
	GRand *random = g_rand_new_with_seed(3);
	Directory directory, stale;
	struct bb_config_service *service = nullptr;
	std::vector<struct bb_source *> sources;
	std::vector<std::string> accepted;

	void SetUp() override
	{
		ASSERT_EQ(0, bb_signing_key_generate(public_key, secret, &err));
	}

	void TearDown() override
	{
		for (struct bb_source *s : sources)
			bb_source_delete(s);
		bb_config_service_delete(service);
		g_rand_free(random);
	}

	struct bb_publication *build(const Document &d)
	{
		Config c = parse(d.json());

		EXPECT_TRUE(c);
		return bb_publication_build(c.get(), nullptr, secret, &err);
	}

	void publish(const Document &d, const Directory &to)
	{
		struct bb_publication *p = build(d);

		ASSERT_EQ(0, bb_publication_write(p, to.path.c_str(), &err));
		bb_publication_delete(p);
	}

	size_t count_files(const Directory &d)
	{
		GDir *dir = g_dir_open(d.path.c_str(), 0, nullptr);
		size_t nr = 0;

		while (g_dir_read_name(dir))
			nr++;
		g_dir_close(dir);
		return nr;
	}

	void serve(const char *stale_path = nullptr, uint32_t watch_ms = 1000)
	{
		struct bb_config_service_options o = {};

		o.directory = directory.path.c_str();
		o.stale_directory = stale_path;
		o.watch_ms = watch_ms;
		service = bb_config_service_new(&o, &err);
		ASSERT_TRUE(service);
	}

	struct bb_source *make_source(const char *url,
				      const char *path = nullptr)
	{
		struct bb_source_options o;

		bb_source_options_init(&o);
		o.url = url;
		o.path = path;
		o.random = random;
		memcpy(o.public_key, public_key, sizeof(public_key));
		o.reads_per_s = 1000;
		o.reads_burst = 1000;
		o.backoff_min_us = 1000;
		o.backoff_max_us = 5000;
		o.read_jitter_us = 1000;
		o.context = &accepted;
		o.on_accepted = [](void *context, struct bb_config *c) {
			((std::vector<std::string> *)context)
				->push_back(text_of(c));
			bb_config_delete(c);
		};
		sources.push_back(bb_source_new(&o, &err));
		return sources.back();
	}

	std::string url()
	{
		return "http://127.0.0.1:" +
		       std::to_string(bb_config_service_port(service));
	}

	// Runs a source with the real clock until a condition holds; returns
	// false after WAIT_US.
	bool run_until(struct bb_source *s, std::function<bool()> done)
	{
		int64_t end = bb_clock_now_us() + WAIT_US;

		for (;;) {
			int64_t now = bb_clock_now_us();
			int64_t next = bb_source_perform(s, now);

			if (done())
				return true;
			if (now > end)
				return false;
			struct pollfd p = { bb_source_fd(s), POLLIN, 0 };
			poll(&p, 1, CLAMP((next - now + 999) / 1000, 0, 1000));
		}
	}

	// Runs a source until a complete version is accepted or refused.
	void finish_assembly(struct bb_source *s)
	{
		while (bb_source_perform(s, 1) == 1)
			;
	}

	// Offers the pages from number @first on; page 0 is the index.
	void offer(struct bb_source *s, const struct bb_publication *p,
		   size_t first = 0)
	{
		for (size_t i = first; i < p->pages_nr; i++)
			EXPECT_EQ(0, bb_source_offer_page(s, &p->pages[i], &err))
				<< err.message;
		finish_assembly(s);
	}
};

// Document of a version with so many client accounts, of which up to two have
// another rate.
static Document versioned_document(int version, int accounts, int changed = -1,
				   int changed_too = -1)
{
	Document d;

	d.version = std::to_string(version);
	d.accounts = "";
	for (int i = 0; i < accounts; i++)
		d.accounts += (i ? "," : "") +
			      account_row(i, i == changed || i == changed_too ?
						     99 :
						     1);
	return d;
}

// Guards against a source that misses a change or reads unchanged pages again.
TEST_F(Source, ReadsThenWatchesAndReadsOnlyChangedPages)
{
	publish(versioned_document(1, 1000), directory);
	EXPECT_LT(5u, count_files(directory));
	serve();
	struct bb_source *s = make_source(url().c_str());
	const struct bb_source_status *status = bb_source_status(s);

	ASSERT_TRUE(run_until(s, [&] { return status->version == 1; }))
		<< status->reason;
	uint64_t reads = bb_config_service_page_reads(service);
	// All pages come in one bundle.
	EXPECT_EQ(1u, reads);
	publish(versioned_document(2, 1000, 500), directory);
	ASSERT_TRUE(run_until(s, [&] { return status->version == 2; }))
		<< status->reason;
	// A list and a page of rows; the index comes with the watch.
	EXPECT_EQ(reads + 2, bb_config_service_page_reads(service));
	EXPECT_EQ(text_of(parse(versioned_document(2, 1000, 500).json()).get()),
		  accepted.back());
}

// Guards against a start that reads each page on its own, and against pages
// that no bundle contains.
TEST_F(Source, ReadsManyPagesInFewBundles)
{
	publish(versioned_document(1, 12000), directory);
	size_t pages = count_files(directory);

	serve();
	struct bb_source *s = make_source(url().c_str());
	const struct bb_source_status *status = bb_source_status(s);

	ASSERT_TRUE(run_until(s, [&] { return status->version == 1; }))
		<< status->reason;
	EXPECT_LT(80u, pages);
	EXPECT_LT(1u, bb_config_service_page_reads(service));
	EXPECT_GT(6u, bb_config_service_page_reads(service));
	EXPECT_EQ(text_of(parse(versioned_document(1, 12000).json()).get()),
		  accepted.back());
}

// Guards against a source that does not read single pages if a bundle is
// missing, belongs to another version than the index, or has an invalid
// signature.
TEST_F(Source, ReadsSinglePagesWhereBundlesDoNotHelp)
{
	for (int fault = 0; fault < 3; fault++) {
		std::string bundle = directory.path + "/bundle-0";
		std::string old = stale.path + "/bundle-0";
		gchar *content;
		gsize size;

		publish(versioned_document(1, 1000), stale);
		publish(versioned_document(2, 1000, 500), directory);
		ASSERT_TRUE(g_file_get_contents(old.c_str(), &content, &size,
						nullptr));
		if (fault == 2)
			content[0] ^= 1;
		if (fault == 0)
			g_unlink(bundle.c_str());
		else
			g_file_set_contents(bundle.c_str(), content, size,
					    nullptr);
		g_free(content);
		serve();
		struct bb_source *s = make_source(url().c_str());
		const struct bb_source_status *status = bb_source_status(s);

		ASSERT_TRUE(run_until(s, [&] { return status->version == 2; }))
			<< fault << ' ' << status->reason;
		EXPECT_EQ(fault == 1 ? 0u : 1u, status->read_failures) << fault;
		EXPECT_EQ(text_of(parse(versioned_document(2, 1000, 500).json())
					  .get()),
			  accepted.back());
		bb_config_service_delete(service);
		service = nullptr;
	}
}

// Guards against a source that stops reading after failures of the service.
TEST_F(Source, RecoversFromFailures)
{
	publish(versioned_document(1, 500), directory);
	serve();
	bb_config_service_set_fail_every(service, 1);
	struct bb_source *s = make_source(url().c_str());
	const struct bb_source_status *status = bb_source_status(s);

	ASSERT_TRUE(run_until(s, [&] { return status->read_failures >= 3; }));
	EXPECT_STREQ("status 503", status->reason);
	bb_config_service_set_fail_every(service, 3);
	ASSERT_TRUE(run_until(s, [&] { return status->version == 1; }));
}

// Guards against a return to an older version that a stale replica serves.
TEST_F(Source, StaleReplicaIsIgnoredAndCounted)
{
	publish(versioned_document(1, 10), stale);
	publish(versioned_document(2, 10, 3), directory);
	serve(stale.path.c_str(), 100);
	struct bb_source *s = make_source(url().c_str());
	const struct bb_source_status *status = bb_source_status(s);

	ASSERT_TRUE(run_until(s, [&] {
		return status->version == 2 && status->stale_versions >= 2;
	}));
	EXPECT_EQ(2u, status->version);
	EXPECT_EQ(0, accepted.back().compare(0, 12, "{\"version\":2"));
}

// Guards against a starting node that reads an old version from a stale
// replica, gets the newer one from a peer, and returns to the old one, which
// the replica still serves.
TEST_F(Source, PagesFromPeersReplaceVersionOfStaleReplica)
{
	struct bb_publication *two = build(versioned_document(2, 10, 3));

	publish(versioned_document(1, 10), directory);
	serve(nullptr, 100);
	struct bb_source *s = make_source(url().c_str());
	const struct bb_source_status *status = bb_source_status(s);

	ASSERT_TRUE(run_until(s, [&] { return status->version == 1; }));
	bb_source_set_min_version(s, 2);
	for (size_t i = 0; i < two->pages_nr; i++)
		EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[i], &err));
	ASSERT_TRUE(run_until(s, [&] { return status->stale_versions >= 3; }));
	EXPECT_EQ(2u, status->version);
	EXPECT_EQ(0u, status->candidate_version);
	EXPECT_EQ(2u, accepted.size());
	bb_publication_delete(two);
}

// Guards against reads above the rate limit, with which the whole fleet stays
// within the limit of the service, and against retries without back-off. The
// test sets the clock; nothing listens on the port, so each watch fails at
// once.
TEST_F(Source, BackOffAndRateLimitBoundTheReads)
{
	struct bb_source_options o;

	bb_source_options_init(&o);
	o.url = "http://127.0.0.1:1";
	o.random = random;
	struct bb_source *s = bb_source_new(&o, &err);
	const struct bb_source_status *status = bb_source_status(s);
	int64_t now = 1;
	std::vector<int64_t> failed_at;

	sources.push_back(s);
	while (failed_at.size() < 12) {
		uint64_t before = status->read_failures;
		int64_t next = bb_source_perform(s, now);

		if (status->read_failures > before)
			failed_at.push_back(now);
		// The connection fails in real time, so wait for a moment.
		struct pollfd p = { bb_source_fd(s), POLLIN, 0 };
		if (status->read_failures == before && poll(&p, 1, 10) > 0)
			continue;
		now = MAX(now + 1, MIN(next, now + o.backoff_max_us));
	}
	for (size_t i = 6; i + 1 < failed_at.size(); i++)
		EXPECT_LE(BB_US_PER_S * 3, failed_at[i + 1] - failed_at[i]);
	for (size_t i = 0; i + 1 < failed_at.size(); i++)
		EXPECT_GE(o.backoff_max_us + 10 * BB_US_PER_S,
			  failed_at[i + 1] - failed_at[i]);
	EXPECT_GE(o.reads_burst + 1 + o.reads_per_s * now / BB_US_PER_S,
		  status->reads);
}

// Guards against the use of a page from a peer that is forged, of an old
// version or not part of the candidate.
TEST_F(Source, PagesFromPeersAreVerified)
{
	struct bb_source *s = make_source(nullptr);
	const struct bb_source_status *status = bb_source_status(s);
	struct bb_publication *one = build(versioned_document(1, 300));
	struct bb_publication *two = build(versioned_document(2, 300, 7));
	const char *names[64];

	EXPECT_EQ(-1, bb_source_offer_page(s, &one->pages[1], &err));
	EXPECT_EQ(BB_ERROR_NOT_FOUND, err.code);
	EXPECT_EQ(0, bb_source_offer_page(s, &one->pages[0], &err));
	ASSERT_EQ(1u, bb_source_missing_pages(s, names, 64));
	EXPECT_STREQ(one->pages[1].name, names[0]);
	one->pages[1].content[2] ^= 1;
	EXPECT_EQ(-1, bb_source_offer_page(s, &one->pages[1], &err));
	EXPECT_EQ(BB_ERROR_SIGNATURE, err.code);
	one->pages[1].content[2] ^= 1;
	offer(s, one, 1);
	EXPECT_EQ(1u, status->version);
	EXPECT_STREQ(one->pages[2].content,
		     bb_source_get_page(s, 1, one->pages[2].name)->content);
	EXPECT_FALSE(bb_source_get_page(s, 2, one->pages[2].name));

	EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[0], &err));
	EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[1], &err));
	EXPECT_EQ(1u, bb_source_missing_pages(s, names, 64));
	// Version 1 is served while version 2 is incomplete.
	EXPECT_TRUE(bb_source_get_page(s, 1, names[0]));
	EXPECT_FALSE(bb_source_get_page(s, 2, names[0]));
	EXPECT_TRUE(bb_source_get_page(s, 2, two->pages[1].name));
	for (size_t i = 1; i < two->pages_nr; i++)
		bb_source_offer_page(s, &two->pages[i], &err);
	EXPECT_EQ(1u, status->version);
	finish_assembly(s);
	EXPECT_EQ(2u, status->version);
	EXPECT_EQ(-1, bb_source_offer_page(s, &one->pages[0], &err));
	EXPECT_EQ(BB_ERROR_STALE, err.code);
	EXPECT_EQ(1u, status->stale_versions);
	bb_publication_delete(one);
	bb_publication_delete(two);
}

// Guards against the use of a version older than one that peers have accepted.
TEST_F(Source, OlderThanMinimumVersionIsRefused)
{
	struct bb_source *s = make_source(nullptr);
	struct bb_publication *two = build(versioned_document(2, 10));
	struct bb_publication *three = build(versioned_document(3, 10));

	EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[0], &err));
	bb_source_set_min_version(s, 3);
	EXPECT_EQ(0u, bb_source_status(s)->candidate_version);
	EXPECT_EQ(-1, bb_source_offer_page(s, &two->pages[0], &err));
	EXPECT_EQ(BB_ERROR_STALE, err.code);
	offer(s, three);
	EXPECT_EQ(3u, bb_source_status(s)->version);
	bb_publication_delete(two);
	bb_publication_delete(three);
}

// Guards against the use of pages of a candidate that a newer one has replaced.
TEST_F(Source, NewerIndexReplacesCandidate)
{
	struct bb_source *s = make_source(nullptr);
	struct bb_publication *one = build(versioned_document(1, 300));
	struct bb_publication *two = build(versioned_document(2, 300, 7, 299));
	struct bb_publication *three = build(versioned_document(3, 300));
	const char *names[2];

	offer(s, one);
	// Collects one of the two changed pages of version 2; version 3 has
	// the pages of version 1 again.
	EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[0], &err));
	EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[1], &err));
	ASSERT_EQ(2u, bb_source_missing_pages(s, names, 2));
	std::string offered = names[0];
	for (size_t i = 1; i < two->pages_nr; i++)
		if (offered == two->pages[i].name)
			bb_source_offer_page(s, &two->pages[i], &err);
	EXPECT_EQ(1u, bb_source_missing_pages(s, names, 2));
	offer(s, three);
	EXPECT_EQ(3u, bb_source_status(s)->version);
	EXPECT_EQ(text_of(parse(versioned_document(3, 300).json()).get()),
		  accepted.back());
	EXPECT_EQ(2u, accepted.size());
	bb_publication_delete(one);
	bb_publication_delete(two);
	bb_publication_delete(three);
}

// Guards against the use of a part of an invalid document, and against a reason
// that does not tell the operators what is wrong.
TEST_F(Source, InvalidDocumentIsRefusedWhole)
{
	struct bb_source *s = make_source(nullptr);
	const struct bb_source_status *status = bb_source_status(s);
	struct bb_publication *one = build(versioned_document(1, 10));
	Config bad = parse(versioned_document(2, 10).json());
	struct bb_publication *two,
		*three = build(versioned_document(3, 10, 2));

	bad->accounts[4].burst = 0;
	two = bb_publication_build(bad.get(), nullptr, secret, &err);
	offer(s, one);
	for (size_t i = 0; i < two->pages_nr; i++)
		bb_source_offer_page(s, &two->pages[i], &err);
	finish_assembly(s);
	EXPECT_EQ(1u, status->version);
	EXPECT_EQ(1u, status->versions_refused);
	EXPECT_EQ(2u, status->refused_version);
	EXPECT_STREQ("accounts row 5 (name \"account-4\"), column burst: 0 is "
		     "not between 1 and 1000000000",
		     status->reason);
	EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[0], &err));
	EXPECT_EQ(0u, status->candidate_version);
	offer(s, three, 0);
	EXPECT_EQ(3u, status->version);
	bb_publication_delete(one);
	bb_publication_delete(two);
	bb_publication_delete(three);
}

// Guards against a version read from the file that is replaced by pages of an
// older version, whose assembly had started before.
TEST_F(Source, NewerFileReplacesCandidate)
{
	std::string path = directory.path + "/document.json";
	std::string text = versioned_document(3, 1).json();
	struct bb_source *s = make_source(nullptr, path.c_str());
	struct bb_publication *two = build(versioned_document(2, 300));

	for (size_t i = 0; i < two->pages_nr; i++)
		EXPECT_EQ(0, bb_source_offer_page(s, &two->pages[i], &err));
	EXPECT_EQ(2u, bb_source_status(s)->candidate_version);
	g_file_set_contents(path.c_str(), text.data(), text.size(), nullptr);
	finish_assembly(s);
	EXPECT_EQ(3u, bb_source_status(s)->version);
	EXPECT_EQ(0u, bb_source_status(s)->candidate_version);
	EXPECT_EQ(1u, accepted.size());
	bb_publication_delete(two);
}

// Guards against a file that is not read again after a change, and against a
// return to an older version in the file.
TEST_F(Source, FileIsReadWhenItChanges)
{
	std::string path = directory.path + "/document.json";
	auto write = [&](const std::string &text) {
		g_file_set_contents(path.c_str(), text.data(), text.size(),
				    nullptr);
	};
	struct bb_source *s = make_source(nullptr, path.c_str());
	const struct bb_source_status *status = bb_source_status(s);
	int64_t now = 1;

	now = bb_source_perform(s, now);
	EXPECT_EQ(1u, status->read_failures);
	write(versioned_document(2, 1).json());
	now = bb_source_perform(s, now);
	EXPECT_EQ(2u, status->version);
	now = bb_source_perform(s, now);
	write("{}");
	now = bb_source_perform(s, now);
	EXPECT_EQ(1u, status->versions_refused);
	EXPECT_STREQ("document, column version: value is missing",
		     status->reason);
	write(versioned_document(1, 2).json());
	now = bb_source_perform(s, now);
	EXPECT_EQ(1u, status->stale_versions);
	write(versioned_document(3, 3).json());
	bb_source_perform(s, now);
	EXPECT_EQ(3u, status->version);
	EXPECT_EQ(2u, accepted.size());
}
