#pragma once

#include <godwit/ports/httpclient.h>
#include <godwit/ports/keyvalueport.h>
#include <godwit/ports/serviceoptions.h>

namespace godwit {

/// Key-value service that speaks the JSON gateway protocol of the etcd v3 API, which states no era.
/// Thread-safe.
class EtcdKeyValue : public KeyValuePort
{
public:
    /// \a client must outlive the adapter. A watch ends with PlatformTimeout if it receives no byte
    /// for \a watchTimeout, which must exceed the interval of the progress notifications.
    EtcdKeyValue(HttpClient &client, ServiceOptions options,
                 Duration watchTimeout = std::chrono::seconds(30));

    void get(std::string key, Completion<std::optional<KeyValueEntry>> done) override;
    void list(std::string prefix, Completion<KeyValueList> done) override;
    void compareAndSwap(std::string key, StoreRevision expected, std::string value, LeaseId lease,
                        Completion<StoreRevision> done) override;
    void deleteKey(std::string key, StoreRevision expected, Completion<Done> done) override;
    void grantLease(Duration span, Completion<LeaseId> done) override;
    void keepLeaseAlive(LeaseId lease, Completion<Duration> done) override;
    void revokeLease(LeaseId lease, Completion<Done> done) override;
    std::shared_ptr<CallHandle> watch(std::string prefix, StorePosition from,
                                      WatchHandlers handlers) override;

private:
    HttpClient &m_client;
    ServiceOptions m_options;
    Duration m_watchTimeout;
};

} // namespace godwit
