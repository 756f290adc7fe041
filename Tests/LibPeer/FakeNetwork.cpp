#include "FakeNetwork.h"

namespace sorrelbay {

static constexpr Duration MeshTickInterval = milliseconds(50);

static MeshHooks withDefaults(MeshHooks hooks) {
  if (!hooks.AcceptBundle)
    hooks.AcceptBundle = [](const BundleMark &) { return true; };
  if (!hooks.OnKnowledge)
    hooks.OnKnowledge = [](const PeerKnowledge &) {};
  if (!hooks.OnFresh)
    hooks.OnFresh = [](const HostId &, Instant) {};
  if (!hooks.OnRequest)
    hooks.OnRequest = [](const HostId &, const PeerRequest &request,
                         const PeerRespond &respond) {
      respond({request.Number, true, "re: " + request.Body});
    };
  return hooks;
}

void FakeNetwork::start(const std::string &name, const std::string &zone,
                        NodeOptions options) {
  if (isUp(name))
    kill(name);
  Node &node = Nodes[name];
  node = Node();
  node.ProcessNumber = NextProcessNumber++;
  MeshSettings settings;
  settings.Self = HostId(name);
  settings.Zone = ZoneId(zone);
  settings.Incarnation = IncarnationId(std::to_string(node.ProcessNumber));
  settings.PeerAddress = name + ":1";
  settings.CallerAddress = name + ":2";
  settings.Seeds = std::move(options.Seeds);
  settings.Secrets = {options.Secret};
  MeshTransport transport;
  transport.Connect = [this, name](const std::string &address) {
    return connect(name, address);
  };
  transport.Send = [this](ConnectionId to, const std::string &bytes) {
    send(to, bytes);
  };
  transport.Close = [this](ConnectionId it) { close(it); };
  transport.RaiseMessageLimit = [](ConnectionId) {};
  node.Mesh = std::make_unique<MeshState>(
      settings, transport, withDefaults(std::move(options.Hooks)), Now);
  tick(name, node.ProcessNumber);
}

void FakeNetwork::kill(const std::string &name) {
  for (auto &[id, end] : Ends)
    if (end.Node == name)
      close(id);
  Nodes[name] = Node();
}

void FakeNetwork::pause(const std::string &name) {
  Nodes[name].IsPaused = true;
}

void FakeNetwork::resume(const std::string &name) {
  Node &node = Nodes[name];
  node.IsPaused = false;
  std::deque<std::function<void()>> deferredEvents;
  deferredEvents.swap(node.DeferredEvents);
  for (const auto &it : deferredEvents)
    it();
}

void FakeNetwork::silence(const std::string &a, const std::string &b) {
  for (auto &[id, end] : Ends) {
    const std::string &other = Ends.at(id ^ 1).Node;
    if ((end.Node == a && other == b) || (end.Node == b && other == a))
      end.IsSilent = true;
  }
}

void FakeNetwork::inject(const std::string &from, const std::string &to,
                         const PeerMessage &message) {
  for (auto &[id, end] : Ends)
    if (end.IsOpen && end.Node == from && Ends.at(id ^ 1).Node == to)
      send(id, encodePeerMessage(message));
}

void FakeNetwork::schedule(Duration delay, std::function<void()> work) {
  Events.emplace(Now + delay, std::move(work));
}

void FakeNetwork::run(Duration span) {
  const Instant end = Now + span;
  while (!Events.empty() && Events.begin()->first <= end) {
    Now = std::max(Now, Events.begin()->first);
    const auto work = std::move(Events.begin()->second);
    Events.erase(Events.begin());
    work();
  }
  Now = end;
}

void FakeNetwork::deliver(const std::string &name,
                          std::function<void(MeshState &)> work,
                          Duration delay) {
  const std::uint64_t processNumber = Nodes[name].ProcessNumber;
  const auto arrive = [this, name, processNumber, work = std::move(work)] {
    Node &node = Nodes[name];
    if (node.ProcessNumber != processNumber || node.Mesh == nullptr)
      return;
    if (node.IsPaused)
      node.DeferredEvents.push_back([&node, work] { work(*node.Mesh); });
    else
      work(*node.Mesh);
  };
  schedule(delay, arrive);
}

void FakeNetwork::tick(const std::string &name, std::uint64_t processNumber) {
  Node &node = Nodes[name];
  if (node.ProcessNumber != processNumber || node.Mesh == nullptr)
    return;
  if (!node.IsPaused)
    node.Mesh->tick(Now);
  schedule(MeshTickInterval,
           [this, name, processNumber] { tick(name, processNumber); });
}

Duration FakeNetwork::randomDelay() {
  return microseconds(300 + Random() % 3000);
}

bool FakeNetwork::isCut(const std::string &a, const std::string &b) const {
  return Cuts.count({a, b}) != 0 || Cuts.count({b, a}) != 0;
}

ConnectionId FakeNetwork::connect(const std::string &from,
                                  const std::string &address) {
  const ConnectionId id = 2 * NextPair++;
  const std::string to = address.substr(0, address.find(':'));
  Ends[id] = {from, true, false, {}};
  Ends[id ^ 1] = {to, true, false, {}};
  if (isCut(from, to))
    return id;
  if (!isUp(to)) {
    deliver(
        from, [this, id](MeshState &it) { it.closed(id, Now); }, randomDelay());
    return id;
  }
  deliver(
      to, [this, id](MeshState &it) { it.accepted(id ^ 1, Now); },
      milliseconds(1));
  deliver(
      from, [this, id](MeshState &it) { it.opened(id, Now); }, milliseconds(1));
  return id;
}

void FakeNetwork::send(ConnectionId from, const std::string &bytes) {
  End &end = Ends.at(from);
  const ConnectionId to = from ^ 1;
  const std::string &other = Ends.at(to).Node;
  if (!end.IsOpen || end.IsSilent || isCut(end.Node, other) || !isUp(other))
    return;
  end.LastDelivery =
      std::max(end.LastDelivery, Now + milliseconds(1) + randomDelay());
  deliver(
      other,
      [this, to, bytes](MeshState &it) {
        if (Ends.at(to).IsOpen)
          it.received(to, bytes, Now);
      },
      end.LastDelivery - Now);
}

void FakeNetwork::close(ConnectionId from) {
  End &end = Ends.at(from);
  if (!end.IsOpen)
    return;
  end.IsOpen = false;
  const ConnectionId to = from ^ 1;
  End &other = Ends.at(to);
  if (end.IsSilent || isCut(end.Node, other.Node) || !isUp(other.Node))
    return;
  end.LastDelivery =
      std::max(end.LastDelivery, Now + milliseconds(1) + randomDelay());
  deliver(
      other.Node,
      [this, to](MeshState &it) {
        if (!Ends.at(to).IsOpen)
          return;
        Ends.at(to).IsOpen = false;
        it.closed(to, Now);
      },
      end.LastDelivery - Now);
}

} // namespace sorrelbay
